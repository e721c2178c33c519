// Tests of full reads and watches of a store that comes back from an older copy
// in the midst of them.
#include "gateway/store_sync.h"

#include <catch2/catch.hpp>
#include <map>
#include <string>

#include "fake_store.h"
#include "serving/instance_settings.h"
#include "transport/event_loop.h"
#include "transport/event_loop_http_client.h"

namespace bilberrypitch {
namespace {

// Returns one key a page, and comes back from its copy after the first page of
// the first full read.
class PagedStore : public FakeStore {
 public:
  explicit PagedStore(EventLoop* loop) : FakeStore(loop) {}

  void ReadPage(const std::string& prefix, const std::string& after_key,
                std::function<void(StorePage)> done) override {
    FakeStore::ReadPage(prefix, after_key,
                        [this, prefix, done](StorePage page) {
                          page.more = page.items.size() > 1;
                          page.items.resize(page.more ? 1 : page.items.size());
                          if (prefix.empty() && !restored_) {
                            restored_ = true;
                            RestoreCopy();
                          }
                          done(page);
                        });
  }

 private:
  bool restored_ = false;
};

}  // namespace

// Guards against: the pages of a full read are joined although the store came
// back from an older copy in between, so that records of a lost past stay.
TEST_CASE("a full read starts again when the era changes between its pages",
          "[store_sync][era]") {
  EventLoop loop;
  EventLoopHttpClient client(&loop);
  PagedStore store(&loop);
  store.Put("b", "1");
  store.TakeCopy();
  store.Put("a", "lost");
  store.Put("b", "2");
  std::map<std::string, std::string> found;
  bool complete = false;
  StoreSync::Hooks hooks;
  hooks.on_item = [](const StoreItem&, Millis) { return true; };
  hooks.on_full_read_started = [](bool) {};
  hooks.on_full_read_completed = [&](const std::vector<StoreItem>& items,
                                     StoreRevision revision, Millis) {
    REQUIRE(revision.era == store.era());
    for (const StoreItem& item : items) {
      REQUIRE(item.revision.era == store.era());
      found[item.key] = item.value;
    }
    complete = true;
  };
  hooks.on_confirmed = [](Millis) {};
  hooks.on_store_failure = [] {};
  hooks.address_of = [](const MachineId&) { return std::string(); };
  ClusterMember self{MachineId("m1"), BootId("b"), ZoneId("z"), "127.0.0.1:1"};
  StoreSync sync(&loop, &store, &client, self,
                 SyncIntervalsFor(ClusterBounds()), hooks);
  sync.Start();
  Timer timer(&loop);
  const Millis end = EventLoop::Now() + Millis(5000);
  std::function<void()> check = [&] {
    if (complete || EventLoop::Now() > end) {
      loop.Stop();
    } else {
      timer.Start(Millis(5), check);
    }
  };
  check();
  loop.Run();
  REQUIRE(complete);
  REQUIRE(store.era() == 1);
  REQUIRE(found == std::map<std::string, std::string>{{"b", "1"}});
  REQUIRE(sync.follower()->revision().era == 1);
}

}  // namespace bilberrypitch
