// Tests of the view of the store that instances take from each other: single
// cases, and a long random run of a zone whose readers fail.
#include "serving/store_follower.h"

#include <catch2/catch.hpp>
#include <cstdlib>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>

#include "serving/follower_queries.h"
#include "serving/freshness.h"
#include "serving/store_view.h"

namespace bilberrypitch {
namespace {

constexpr StoreSyncIntervals kIntervals{Millis(1000), Millis(500)};

// A revision in the store's first era.
constexpr StoreRevision Rev(int64_t number) { return StoreRevision(0, number); }

StoreItem MakeItem(const std::string& key, StoreRevision revision,
                   const std::string& value = "v") {
  StoreItem item;
  item.key = key;
  item.value = value;
  item.revision = revision;
  return item;
}

StoreItem MakeDeletion(const std::string& key, StoreRevision revision) {
  StoreItem item = MakeItem(key, revision, "");
  item.deleted = true;
  return item;
}

ClusterMember MakeMember(int number, double cpu_share = 0.1,
                         const std::string& zone = "z") {
  std::string name = "m" + std::to_string(number);
  return {MachineId(name), BootId("b"), ZoneId(zone), name, cpu_share};
}

// A follower that has read the store and knows `count` members of its zone, of
// which m0 is the largest. Its own number is `number`.
StoreFollower MakeSynced(int number, int count, Millis now) {
  auto share = [](int i) { return i == 0 ? 0.5 : 0.1; };
  StoreFollower follower(MakeMember(number, share(number)), kIntervals);
  for (int i = 0; i < count; ++i) {
    follower.OnMember(MakeMember(i, share(i)));
  }
  follower.OnZoneMembersRead(now);
  follower.OnFullRead(Rev(10), now, now);
  return follower;
}

StoreChanges MakeChanges(StoreRevision revision,
                         Millis confirmed_after_arrival) {
  StoreChanges changes;
  changes.revision = revision;
  changes.confirmed_after_arrival = confirmed_after_arrival;
  return changes;
}

using ReaderFailure = StoreFollower::ReaderFailure;

}  // namespace

TEST_CASE("a view passes on the last relevant change of each key",
          "[store_view]") {
  StoreView view;
  view.Reset({MakeItem("a", Rev(3)), MakeItem("b", Rev(5))}, Rev(6));
  view.Apply(MakeItem("a", Rev(7), "w"), true);
  view.Apply(MakeItem("b", Rev(8)), false);
  view.Apply(MakeItem("a", Rev(9), "x"), true);
  view.AdvanceTo(Rev(9));
  auto changes = view.ChangesAfter(Rev(6));
  REQUIRE(changes.size() == 1);
  REQUIRE(changes[0].value == "x");
  REQUIRE_FALSE(view.HasRelevantChangeAfter(Rev(9)));
  REQUIRE(view.ChangesAfter(Rev(4)).size() == 2);
}

TEST_CASE("a view passes on deletions, and knows where its history begins",
          "[store_view]") {
  StoreView view;
  view.Reset({MakeItem("a", Rev(3))}, Rev(6));
  REQUIRE_FALSE(view.HasChangesAfter(Rev(5)));
  REQUIRE(view.HasChangesAfter(Rev(6)));
  view.Apply(MakeDeletion("a", Rev(8)), true);
  REQUIRE(view.ChangesAfter(Rev(6)).at(0).deleted);
  REQUIRE(view.AllItems().empty());
  // A record that returns is relevant even if it is what it was before.
  view.Apply(MakeItem("a", Rev(9)), false);
  REQUIRE(view.ChangesAfter(Rev(8)).size() == 1);
  view.Apply(MakeItem("a", Rev(7), "old"), true);
  REQUIRE(view.AllItems().at(0).revision == Rev(9));
}

// A full read takes several pages, and records may change in between.
TEST_CASE("a record that is newer than the view is no reason to respond again",
          "[store_view]") {
  StoreView view;
  view.Reset({MakeItem("a", Rev(3)), MakeItem("b", Rev(9))}, Rev(6));
  REQUIRE_FALSE(view.HasRelevantChangeAfter(Rev(6)));
  view.AdvanceTo(Rev(9));
  REQUIRE(view.HasRelevantChangeAfter(Rev(6)));
}

TEST_CASE("a view forgets old deletions, and then needs a full read",
          "[store_view]") {
  StoreView view;
  view.Reset({}, Rev(1));
  int64_t revision = 1;
  for (int i = 0; i < 5000; ++i) {
    std::string key = std::to_string(i);
    view.Apply(MakeItem(key, Rev(++revision)), true);
    view.Apply(MakeDeletion(key, Rev(++revision)), true);
  }
  REQUIRE_FALSE(view.HasChangesAfter(Rev(1)));
  REQUIRE(view.HasChangesAfter(Rev(revision - 4000)));
  REQUIRE(view.ChangesAfter(Rev(0)).size() == 4000);
}

// Pattern: hundreds of small machines and a few large ones.
TEST_CASE("the largest members of a zone are its readers", "[store_follower]") {
  const Millis now(1000);
  REQUIRE(MakeSynced(0, 12, now).NextCall(now).reader.empty());
  for (int i = 1; i < 12; ++i) {
    REQUIRE(MakeSynced(i, 12, now).NextCall(now).reader == MachineId("m0"));
  }
  int readers = 0;
  std::set<MachineId> queried;
  for (int i = 0; i < 60; ++i) {
    StoreCall call = MakeSynced(i, 60, now).NextCall(now);
    readers += call.reader.empty() ? 1 : 0;
    if (!call.reader.empty()) {
      queried.insert(call.reader);
    }
  }
  REQUIRE(readers == 3);
  REQUIRE(queried.size() == 3);
}

// Pattern: all instances start at the same moment.
TEST_CASE("an instance that starts takes the records from a reader",
          "[store_follower]") {
  Millis now(1000);
  StoreFollower follower(MakeMember(5), kIntervals);
  REQUIRE(follower.NextCall(now).kind == StoreCallKind::kReadZoneMembers);
  for (int i = 0; i < 12; ++i) {
    follower.OnMember(MakeMember(i, i == 0 ? 0.5 : 0.1));
  }
  follower.OnZoneMembersRead(now);
  StoreCall call = follower.NextCall(now);
  REQUIRE(call.reader == MachineId("m0"));
  REQUIRE(call.revision == Rev(0));
  // A part of the records is of no use before all are known.
  follower.OnReaderChanges(call.reader, MakeChanges(Rev(5), Millis(0)), now,
                           now);
  REQUIRE_FALSE(follower.has_synced());
  StoreChanges all = MakeChanges(Rev(9), Millis(0));
  all.complete = true;
  follower.OnReaderChanges(call.reader, all, now, now);
  REQUIRE(follower.has_synced());
  REQUIRE(follower.revision() == Rev(9));
}

TEST_CASE("an instance that starts reads the store if no reader is ready",
          "[store_follower]") {
  Millis now(1000);
  StoreFollower follower(MakeMember(5), kIntervals);
  for (int i = 0; i < 12; ++i) {
    follower.OnMember(MakeMember(i, i == 0 ? 0.5 : 0.1));
  }
  follower.OnZoneMembersRead(now);
  int queries = 0;
  StoreCall call = follower.NextCall(now);
  while (call.kind == StoreCallKind::kQueryReader && queries < 100) {
    ++queries;
    now =
        now + Millis(5) +
        follower.OnReaderFailure(call.reader, ReaderFailure::kNotCurrent, now);
    call = follower.NextCall(now);
  }
  REQUIRE(queries < 100);
  REQUIRE(call.kind == StoreCallKind::kReadAll);
  REQUIRE(now < Millis(5000));
}

TEST_CASE("members of other zones are no readers", "[store_follower]") {
  const Millis now(1000);
  StoreFollower follower(MakeMember(1), kIntervals);
  follower.OnMember(MakeMember(0, 0.5, "other"));
  follower.OnZoneMembersRead(now);
  follower.OnFullRead(Rev(10), now, now);
  REQUIRE(follower.NextCall(now).reader.empty());
}

TEST_CASE("a follower turns to the store when its reader does not respond",
          "[store_follower]") {
  Millis now(1000);
  StoreFollower follower = MakeSynced(5, 12, now);
  REQUIRE(follower.OnReaderFailure(MachineId("m0"), ReaderFailure::kNoResponse,
                                   now) == Millis(0));
  REQUIRE(follower.NextCall(now).reader.empty());
  follower.OnStoreChanges(Rev(11), true, now, now);
  // A spare reader next, and the first one again after some time.
  MachineId spare = follower.NextCall(now).reader;
  REQUIRE_FALSE(spare.empty());
  REQUIRE(spare != MachineId("m0"));
  now = now + Millis(2000);
  follower.OnStoreChanges(Rev(12), true, now, now);
  REQUIRE(follower.NextCall(now).reader == MachineId("m0"));
}

// Pattern: the store breaks the watch of all readers at the same moment.
TEST_CASE("followers wait a moment when no reader is current",
          "[store_follower]") {
  Millis now(1000);
  StoreFollower follower = MakeSynced(5, 12, now);
  now = now + Millis(100);
  for (int i = 0; i < 2; ++i) {
    MachineId reader = follower.NextCall(now).reader;
    REQUIRE(follower.OnReaderFailure(reader, ReaderFailure::kNotCurrent, now) ==
            Millis(0));
  }
  MachineId last = follower.NextCall(now).reader;
  Millis delay =
      follower.OnReaderFailure(last, ReaderFailure::kNotCurrent, now);
  REQUIRE(delay > Millis(0));
  // The wait has an end: the view must not become too old.
  now = now + Millis(1500);
  for (int i = 0; i < 3; ++i) {
    follower.OnReaderFailure(follower.NextCall(now).reader,
                             ReaderFailure::kNotCurrent, now);
  }
  REQUIRE(follower.NextCall(now).reader.empty());
}

TEST_CASE("a reader's confirmation counts from when the query was sent",
          "[store_follower]") {
  Millis now(5000);
  StoreFollower follower = MakeSynced(5, 12, now);
  follower.OnReaderChanges(MachineId("m0"), MakeChanges(Rev(12), Millis(300)),
                           Millis(5100), Millis(5600));
  REQUIRE(follower.confirmed_at() == Millis(5400));
  REQUIRE(follower.revision() == Rev(12));
  // Older news takes nothing back.
  follower.OnReaderChanges(MachineId("m0"), MakeChanges(Rev(11), Millis(-700)),
                           Millis(5700), Millis(5800));
  REQUIRE(follower.confirmed_at() == Millis(5400));
  REQUIRE(follower.revision() == Rev(12));
}

TEST_CASE("an instance that is queried watches the store", "[store_follower]") {
  Millis now(1000);
  StoreFollower follower = MakeSynced(5, 12, now);
  REQUIRE_FALSE(follower.NextCall(now).reader.empty());
  follower.OnQueried(now);
  REQUIRE(follower.NextCall(now).reader.empty());
  now = now + Millis(2000);
  follower.OnStoreChanges(Rev(11), true, now, now);
  REQUIRE_FALSE(follower.NextCall(now).reader.empty());
}

TEST_CASE("a reader without the store passes nothing on", "[store_follower]") {
  Millis now(1000);
  StoreFollower follower = MakeSynced(0, 12, now);
  REQUIRE(follower.CanServe(now));
  follower.OnStoreFailure(now + Millis(10));
  REQUIRE_FALSE(follower.CanServe(now + Millis(10)));
  follower.OnStoreChanges(Rev(12), true, now + Millis(100), now + Millis(110));
  REQUIRE(follower.CanServe(now + Millis(110)));
  // Without another response of the store its view grows old.
  REQUIRE_FALSE(follower.CanServe(now + Millis(1500)));
}

// Pattern: an upstream leaves while some instances have just regained the
// store. The time for expired records to return counts from the recovery, not
// from the removal.
TEST_CASE("a record that goes after the recovery is not waited for long",
          "[store_follower]") {
  Millis now(1000);
  StoreFollower follower = MakeSynced(0, 12, now);
  REQUIRE(follower.ReturnDeadline(now) == Millis(0));
  follower.OnStoreFailure(now);
  follower.OnStoreFailure(now);
  REQUIRE(follower.ReturnDeadline(now) == now + Millis(2000));
  const Millis recovered_at(8000);
  follower.OnStoreChanges(Rev(20), true, recovered_at, recovered_at);
  REQUIRE(follower.ReturnDeadline(recovered_at) == recovered_at + Millis(2000));
  Millis removed_at = recovered_at + Millis(1900);
  REQUIRE(follower.ReturnDeadline(removed_at) <= recovered_at + Millis(2500));
  REQUIRE(follower.ReturnDeadline(recovered_at + Millis(2600)) == Millis(0));
  // A follower waits no longer than its reader.
  StoreChanges changes = MakeChanges(Rev(12), Millis(0));
  REQUIRE(StoreFollower::ReturnDeadlineOf(changes, now) == Millis(0));
  changes.returns_for = Millis(400);
  REQUIRE(StoreFollower::ReturnDeadlineOf(changes, now) == now + Millis(400));
}

// Guards against: an instance that was cut off takes that for an outage of the
// store, and keeps an upstream whose entry was removed.
TEST_CASE("a record that is missing after a cut of one's own is gone",
          "[store_follower][outage]") {
  Millis now(1000);
  StoreFollower follower = MakeSynced(0, 12, now);
  const Millis cut_at = now + Millis(1000);
  follower.OnStoreFailure(cut_at);
  follower.OnStoreFailure(cut_at + Millis(1500));
  const Millis regained_at = cut_at + Millis(4000);
  follower.OnStoreChanges(Rev(20), true, regained_at, regained_at);
  follower.OnPeersAsked();
  // Nobody has answered yet.
  REQUIRE(follower.ReturnDeadline(regained_at) == regained_at + Millis(700));
  SECTION("another instance saw an outage") {
    follower.OnPeerGap(Millis(1500));
    REQUIRE(follower.ReturnDeadline(regained_at) == regained_at + Millis(2000));
    // A second one didn't.
    follower.OnPeerGap(Millis(1499));
    REQUIRE(follower.ReturnDeadline(regained_at) == Millis(0));
  }
  SECTION("another instance saw none") {
    follower.OnPeerGap(Millis(1499));
    REQUIRE(follower.ReturnDeadline(regained_at) == Millis(0));
    // A second one was cut off as well.
    follower.OnPeerGap(Millis(4000));
    REQUIRE(follower.ReturnDeadline(regained_at) == Millis(0));
  }
  SECTION("another instance can't tell") {
    follower.OnPeerGap(Millis(0));
    REQUIRE(follower.ReturnDeadline(regained_at) == regained_at + Millis(700));
  }
  SECTION("the store came back from a copy") {
    follower.OnEra(1, regained_at);
    follower.OnPeerGap(Millis(1));
    REQUIRE(follower.ReturnDeadline(regained_at) == regained_at + Millis(2000));
  }
}

// Guards against: a follower that had lost its readers and the store keeps what
// its reader knows to be gone.
TEST_CASE("a follower that was cut off believes its reader",
          "[store_follower][outage]") {
  Millis now(1000);
  StoreFollower follower = MakeSynced(5, 12, now);
  follower.OnStoreFailure(now);
  follower.OnStoreFailure(now + Millis(1500));
  StoreChanges changes = MakeChanges(Rev(20), Millis(0));
  Millis regained_at = now + Millis(4000);
  follower.OnReaderChanges(MachineId("m0"), changes, regained_at, regained_at);
  REQUIRE(StoreFollower::ReturnDeadlineOf(changes, regained_at) == Millis(0));
  REQUIRE(follower.ReturnDeadline(regained_at) == Millis(0));
}

TEST_CASE("a held query is answered by the first change", "[store_follower]") {
  Millis now(1000);
  StoreFollower follower = MakeSynced(0, 12, now);
  StoreView view;
  view.Reset({MakeItem("a", Rev(3))}, Rev(10));
  FollowerQueries queries(&view, &follower);
  queries.Add(1, Rev(10), Millis(500), now);
  REQUIRE(queries.TakeResponses(now).empty());
  now = now + Millis(200);
  view.Apply(MakeItem("a", Rev(12), "w"), true);
  view.AdvanceTo(Rev(12));
  follower.OnStoreChanges(Rev(12), true, now - Millis(20), now);
  auto responses = queries.TakeResponses(now);
  REQUIRE(responses.size() == 1);
  REQUIRE(responses[0].changes->items.size() == 1);
  REQUIRE(responses[0].changes->revision == Rev(12));
  // The store confirmed the view 180 ms after the query arrived.
  REQUIRE(responses[0].changes->confirmed_after_arrival == Millis(180));
  REQUIRE(queries.size() == 0);
}

TEST_CASE("a held query ends with its time, or with the reader's own view",
          "[store_follower]") {
  Millis now(1000);
  StoreFollower follower = MakeSynced(0, 12, now);
  StoreView view;
  view.Reset({}, Rev(10));
  FollowerQueries queries(&view, &follower);
  queries.Add(1, Rev(10), Millis(500), now);
  REQUIRE(queries.NextDue() == Millis(1500));
  auto responses = queries.TakeResponses(Millis(1500));
  REQUIRE(responses.at(0).changes);
  REQUIRE(responses.at(0).changes->items.empty());
  queries.Add(2, Rev(10), Millis(5000), Millis(1600));
  Millis due = queries.NextDue();
  REQUIRE(due < Millis(2600));
  REQUIRE_FALSE(queries.TakeResponses(due).at(0).changes);
  // A view without that part of the history is passed on as a whole.
  follower.OnStoreChanges(Rev(10), false, due, due);
  queries.Add(3, Rev(4), Millis(500), due);
  REQUIRE(queries.TakeResponses(due).at(0).changes->complete);
}

// Guards against: events of a store that came back from an older copy are taken
// for a continuation, although the records before them have changed as well.
TEST_CASE("a view of an earlier era is read again", "[store_follower][era]") {
  Millis now(1000);
  StoreFollower follower = MakeSynced(0, 12, now);
  REQUIRE(follower.OnEra(0, now));
  REQUIRE(follower.CanServe(now));
  REQUIRE(follower.OnEra(1, now));
  REQUIRE_FALSE(follower.CanServe(now));
  REQUIRE(follower.NextCall(now).kind == StoreCallKind::kReadAll);
  // Records that the copy lacks may return.
  REQUIRE(follower.ReturnDeadline(now) == now + Millis(2000));
  follower.OnFullRead(StoreRevision(1, 4), now, now);
  REQUIRE(follower.revision() == StoreRevision(1, 4));
  REQUIRE(follower.CanServe(now));
  REQUIRE(follower.NextCall(now).kind == StoreCallKind::kWatch);
  // A response that was sent before the store went away.
  REQUIRE_FALSE(follower.OnEra(0, now));
  REQUIRE(follower.era() == 1);
}

// Guards against: a reader that doesn't know yet that the store came back from
// an older copy confirms the view of a follower that does, or the reverse.
TEST_CASE("changes of another era don't continue a view",
          "[store_follower][era]") {
  Millis now(5000);
  StoreFollower follower = MakeSynced(5, 12, now);
  StoreChanges part = MakeChanges(StoreRevision(1, 4), Millis(0));
  REQUIRE_FALSE(follower.Accepts(part));
  follower.OnReaderChanges(MachineId("m0"), part, now, now + Millis(100));
  REQUIRE(follower.revision() == Rev(10));
  REQUIRE(follower.confirmed_at() == now);
  StoreChanges all = part;
  all.complete = true;
  REQUIRE(follower.Accepts(all));
  follower.OnReaderChanges(MachineId("m0"), all, now, now + Millis(100));
  REQUIRE(follower.revision() == StoreRevision(1, 4));
  REQUIRE(follower.Accepts(part));
  StoreChanges lost = MakeChanges(Rev(20), Millis(0));
  lost.complete = true;
  REQUIRE_FALSE(follower.Accepts(lost));
  follower.OnReaderChanges(MachineId("m0"), lost, now + Millis(500),
                           now + Millis(600));
  REQUIRE(follower.revision() == StoreRevision(1, 4));
  REQUIRE(follower.confirmed_at() == now);
}

// Guards against: a lower revision of a later era is taken for an older write.
TEST_CASE("a view of a new era replaces what was lost", "[store_view][era]") {
  StoreView view;
  view.Reset({MakeItem("a", Rev(3)), MakeItem("b", Rev(9))}, Rev(9));
  view.Apply(MakeItem("a", Rev(12), "lost"), true);
  view.AdvanceTo(Rev(12));
  view.Reset({MakeItem("a", StoreRevision(1, 3))}, StoreRevision(1, 5));
  REQUIRE(view.AllItems().size() == 1);
  REQUIRE(view.AllItems()[0].value == "v");
  view.Apply(MakeItem("a", StoreRevision(1, 6), "again"), true);
  REQUIRE(view.AllItems()[0].value == "again");
  REQUIRE_FALSE(view.HasChangesAfter(Rev(12)));
}

// Guards against: a follower of an earlier era gets only the changes since a
// revision that was given out again, or one of a later era gets a lost past.
TEST_CASE("a follower of another era gets all records, or none",
          "[store_follower][era]") {
  Millis now(1000);
  StoreFollower follower = MakeSynced(0, 12, now);
  StoreView view;
  view.Reset({MakeItem("a", Rev(3))}, Rev(10));
  FollowerQueries queries(&view, &follower);
  queries.Add(1, StoreRevision(1, 2), Millis(500), now);
  auto rejected = queries.TakeResponses(now);
  REQUIRE(rejected.size() == 1);
  REQUIRE_FALSE(rejected[0].changes);
  follower.OnEra(1, now);
  follower.OnFullRead(StoreRevision(1, 5), now, now);
  view.Reset({MakeItem("a", StoreRevision(1, 3))}, StoreRevision(1, 5));
  queries.Add(2, Rev(10), Millis(500), now);
  auto responses = queries.TakeResponses(now);
  REQUIRE(responses.size() == 1);
  REQUIRE(responses[0].changes->complete);
  REQUIRE(responses[0].changes->items.size() == 1);
  REQUIRE(responses[0].changes->returns_for == Millis(2000));
}

namespace {

// A store, and the instances of one zone that follow it, with messages that
// take time and failures on both sides.
class ZoneSimulation {
 public:
  // `loses_writes`: the store comes back from earlier copies. `slow_transfers`:
  // some responses are large and take seconds to arrive.
  ZoneSimulation(uint32_t seed, int instances, bool loses_writes = false,
                 bool slow_transfers = false)
      : random_(seed),
        instances_(instances),
        loses_writes_(loses_writes),
        slow_transfers_(slow_transfers) {
    for (int i = 0; i < 40; ++i) {
      Write("key" + std::to_string(i), true);
    }
    for (int i = 0; i < instances; ++i) {
      StartInstance(i, Millis(Uniform(0, 800)));
    }
  }

  // Runs for this long, with failures or without.
  void Run(Millis duration, bool with_failures) {
    Millis end = now_ + duration;
    Millis next_write = now_;
    Millis next_failure = now_ + Millis(3000);
    while (now_ < end) {
      if (writes_ && now_ >= next_write) {
        WriteSomething();
        next_write = now_ + Millis(Uniform(5, 60));
      }
      if (with_failures && now_ >= next_failure) {
        FailSomething();
        next_failure = now_ + Millis(Uniform(200, 3000));
      }
      if (loses_writes_ && with_failures) {
        StepCopies();
      }
      while (!events_.empty() && events_.top().at <= now_) {
        auto run = events_.top().run;
        events_.pop();
        run();
      }
      for (size_t i = 0; i < instances_.size(); ++i) {
        Check(static_cast<int>(i));
      }
      now_ = now_ + Millis(kStepMs);
    }
  }

  int64_t store_calls() const { return store_calls_; }
  int64_t confirmations() const { return confirmations_; }
  int64_t refusals_allowed() const { return refusals_allowed_; }
  int64_t era() const { return era_; }
  // Whether each instance's view is that of the store but for heartbeats.
  bool HasConverged() const {
    for (const Instance& instance : instances_) {
      std::map<std::string, std::string> known;
      for (const StoreItem& item : instance.view.AllItems()) {
        known[item.key] = ContentOf(item.value);
      }
      std::map<std::string, std::string> stored;
      for (const auto& [key, item] : items_) {
        stored[key] = ContentOf(item.value);
      }
      if (known != stored || instance.follower->era() != era_) {
        return false;
      }
    }
    return true;
  }
  // Lets the instances take what was written last.
  void Settle() {
    writes_ = false;
    Run(Millis(15 * 1000), false);
  }

 private:
  static constexpr int64_t kStepMs = 5;
  // Relevant changes are applied within this time by an instance that the store
  // has responded to for the contact time before.
  static constexpr Millis kApplyBound{2000};
  static constexpr Millis kContactTime{3000};
  static constexpr Millis kStoreTimeout{900};
  static constexpr Millis kReaderResponseTime{250};

  struct Event {
    Millis at;
    uint64_t order;
    std::function<void()> run;
    bool operator<(const Event& other) const {
      return std::tie(other.at, other.order) < std::tie(at, order);
    }
  };
  struct Change {
    StoreItem item;
    Millis at;
    bool relevant;
  };
  // What the store comes back to.
  struct Copy {
    std::map<std::string, StoreItem> items;
    int64_t revision = 0;
  };
  // One process. `generation` tells late events of an earlier one apart.
  struct Instance {
    std::unique_ptr<StoreFollower> follower;
    StoreView view;
    std::map<std::string, StoreRevision> applied;  // Revision of each key.
    StoreRevision read_revision;  // All is known up to the last full read.
    std::unique_ptr<FollowerQueries> queries;
    std::map<uint64_t, std::function<void(std::optional<StoreChanges>)>> held;
    uint64_t last_query = 0;
    uint64_t generation = 0;
    bool alive = false;
    Millis frozen_until;
    Millis no_store_until;
    Millis no_peers_until;
    Millis store_reachable_since;
    Millis checked_confirmation;
    std::unique_ptr<Freshness> freshness;
  };

  int64_t Uniform(int64_t low, int64_t high) {
    return std::uniform_int_distribution<int64_t>(low, high)(random_);
  }
  // Some responses come when the store is in a new era.
  Millis ResponseDelay() {
    if (slow_transfers_ && Uniform(0, 14) == 0) {
      return Millis(Uniform(200, 6000));
    }
    Millis until_loss = next_loss_at_ - now_;
    bool loses_soon =
        loses_writes_ && until_loss >= Millis(0) && until_loss < Millis(100);
    bool is_late = loses_soon && Uniform(0, 2) == 0;
    return Millis(is_late ? Uniform(20, 800) : Uniform(1, 20));
  }
  Instance& Pick() {
    return instances_[static_cast<size_t>(
        Uniform(0, static_cast<int64_t>(instances_.size()) - 1))];
  }
  void At(Millis at, std::function<void()> run) {
    events_.push({at, ++last_event_, std::move(run)});
  }
  // Runs in this process of the instance, later if it is frozen then.
  void AtInstance(int number, Millis at, std::function<void()> run) {
    AtProcess(number, instances_[number].generation, at, std::move(run));
  }
  void AtProcess(int number, uint64_t generation, Millis at,
                 std::function<void()> run) {
    At(at, [this, number, generation, run = std::move(run)] {
      Instance& instance = instances_[number];
      if (!instance.alive || instance.generation != generation) {
        return;
      }
      if (now_ < instance.frozen_until) {
        AtProcess(number, generation, instance.frozen_until, run);
      } else {
        run();
      }
    });
  }

  // The store. A value is its content and, after a bar, a counter that no
  // instance uses.

  void Write(const std::string& key, bool relevant) {
    int64_t revision = ++revision_;
    std::string content =
        relevant ? std::to_string(era_) + "." + std::to_string(revision)
                 : ContentOf(items_.at(key).value);
    StoreItem item = MakeItem(key, StoreRevision(era_, revision),
                              content + "|" + std::to_string(revision));
    items_[key] = item;
    AddChange(item, relevant);
  }
  static std::string ContentOf(const std::string& value) {
    return value.substr(0, value.find('|'));
  }
  void WriteSomething() {
    std::string key = "key" + std::to_string(Uniform(0, 39));
    int64_t choice = Uniform(0, 19);
    bool exists = items_.count(key) > 0;
    if (choice == 0 && exists) {
      items_.erase(key);
      AddChange(MakeDeletion(key, StoreRevision(era_, ++revision_)), true);
    } else {
      Write(key, choice < 3 || !exists);
    }
  }
  void AddChange(const StoreItem& item, bool relevant) {
    changes_.push_back({item, now_, relevant});
    history_.push_back(item);
  }
  void StepCopies() {
    if (now_ >= next_copy_at_) {
      next_copy_at_ = now_ + Millis(400);
      copies_.push_back({items_, revision_});
      if (copies_.size() > 20) {
        copies_.erase(copies_.begin());
      }
    }
    if (now_ >= next_loss_at_) {
      next_loss_at_ = now_ + Millis(Uniform(300, 10000));
      bool goes_away = Uniform(0, 1) == 0;
      store_down_until_ = now_ + Millis(goes_away ? Uniform(0, 2000) : 0);
      ComeBackFromCopy();
    }
  }
  // The revisions after that of the copy are given out again. The store answers
  // only once it has come back.
  void ComeBackFromCopy() {
    const Copy copy = copies_[static_cast<size_t>(
        Uniform(0, static_cast<int64_t>(copies_.size()) - 1))];
    ++era_;
    items_ = copy.items;
    revision_ = copy.revision;
    compacted_revision_ = std::min(compacted_revision_, revision_);
    std::erase_if(history_, [&](const StoreItem& item) {
      return item.revision.number > revision_;
    });
    for (StoreItem& item : history_) {
      item.revision.era = era_;
    }
    for (auto& [key, item] : items_) {
      item.revision.era = era_;
      changes_.push_back({item, std::max(now_, store_down_until_), true});
    }
    copies_ = {{items_, revision_}};
    for (Instance& instance : instances_) {
      instance.store_reachable_since = now_;  // A store that is disturbed.
    }
  }
  bool StoreResponds(const Instance& instance) const {
    return now_ >= store_down_until_ && now_ >= instance.no_store_until;
  }

  // Failures.

  void FailSomething() {
    Instance& instance = Pick();
    Millis until = now_ + Millis(Uniform(100, 5000));
    switch (Uniform(0, 7)) {
      case 0:
        instance.frozen_until = until;
        break;
      case 1:
        instance.no_store_until = until;
        break;
      case 2:
        instance.no_peers_until = until;
        break;
      case 3: {
        auto number = static_cast<int>(&instance - instances_.data());
        instance.alive = false;
        At(until, [this, number] { StartInstance(number, now_); });
        break;
      }
      case 4:
        compacted_revision_ = revision_;
        break;
      case 5:
        // The readers are the instances with the lowest numbers.
        instances_[0].no_store_until = until;
        instances_[1].frozen_until = until;
        break;
      case 6:
        store_down_until_ = now_ + Millis(Uniform(100, 3000));
        break;
      default:
        for (Instance& other : instances_) {
          other.no_store_until = Uniform(0, 2) == 0 ? until : Millis(0);
        }
        break;
    }
  }

  void StartInstance(int number, Millis at) {
    Instance& instance = instances_[number];
    uint64_t generation = instance.generation + 1;
    instance = Instance();
    instance.generation = generation;
    instance.alive = true;
    auto self = MakeMember(number, 1.0 / (number + 1));
    instance.follower = std::make_unique<StoreFollower>(self, kIntervals);
    instance.queries = std::make_unique<FollowerQueries>(
        &instance.view, instance.follower.get());
    for (size_t i = 0; i < instances_.size(); ++i) {
      auto other = static_cast<int>(i);
      instance.follower->OnMember(MakeMember(other, 1.0 / (other + 1)));
    }
    instance.freshness = std::make_unique<Freshness>(Millis(0), kApplyBound);
    AtInstance(number, at, [this, number] { MakeCall(number); });
  }
  static void Confirm(Instance* instance) {
    if (instance->follower->has_synced()) {
      instance->freshness->OnConfirmed(instance->follower->confirmed_at());
    }
  }

  // Calls.

  void MakeCallAfter(int number, Millis delay) {
    AtInstance(number, now_ + delay, [this, number] { MakeCall(number); });
  }
  void MakeCall(int number) {
    Instance& instance = instances_[number];
    StoreCall call = instance.follower->NextCall(now_);
    if (call.reader.empty()) {
      ++store_calls_;
      Millis sent_at = now_;
      uint64_t generation = instance.generation;
      At(now_ + Millis(Uniform(1, 20)),
         [this, number, generation, call, sent_at] {
           OnStoreCall(number, generation, call, sent_at, now_ + call.timeout);
         });
    } else {
      Query(number, call);
    }
  }

  void OnStoreCall(int number, uint64_t generation, const StoreCall& call,
                   Millis sent_at, Millis end) {
    Instance& instance = instances_[number];
    if (!StoreResponds(instance)) {
      AtProcess(number, generation, sent_at + call.timeout + kStoreTimeout,
                [this, number] { OnStoreFailure(number); });
      return;
    }
    bool is_watch = call.kind == StoreCallKind::kWatch;
    int64_t after = call.revision.number;
    bool compacted =
        is_watch && (after < compacted_revision_ || after > revision_);
    std::vector<StoreItem> items;
    if (!is_watch) {
      for (const auto& [key, item] : items_) {
        items.push_back(item);
      }
    } else {
      for (auto it = history_.rbegin();
           it != history_.rend() && it->revision.number > after; ++it) {
        items.insert(items.begin(), *it);
      }
      if (items.empty() && !compacted && now_ < end) {
        At(now_ + Millis(kStepMs),
           [this, number, generation, call, sent_at, end] {
             OnStoreCall(number, generation, call, sent_at, end);
           });
        return;
      }
    }
    AtProcess(number, generation, now_ + ResponseDelay(),
              [this, number, call, compacted, items,
               revision = StoreRevision(era_, revision_), sent_at] {
                OnStoreResponse(number, call, compacted, items, revision,
                                sent_at);
              });
  }
  void OnStoreFailure(int number) {
    Instance& instance = instances_[number];
    Millis delay = instance.follower->OnStoreFailure(now_);
    Send(number, instance.queries->RejectAll());
    MakeCallAfter(number, delay);
  }
  void OnStoreResponse(int number, const StoreCall& call, bool compacted,
                       const std::vector<StoreItem>& items,
                       StoreRevision revision, Millis sent_at) {
    Instance& instance = instances_[number];
    if (!instance.follower->OnEra(revision.era, now_)) {
      OnStoreFailure(number);
      return;
    }
    bool of_other_era = call.kind == StoreCallKind::kWatch &&
                        revision.era != instance.follower->revision().era;
    Millis delay;
    if (compacted || of_other_era) {
      delay = instance.follower->OnHistoryCompacted(now_);
    } else if (call.kind == StoreCallKind::kReadZoneMembers) {
      delay = instance.follower->OnZoneMembersRead(now_);
    } else if (call.kind == StoreCallKind::kReadAll) {
      delay = instance.follower->OnFullRead(revision, sent_at, now_);
      ApplyAll(&instance, items, revision);
    } else {
      delay = instance.follower->OnStoreChanges(revision, !items.empty(),
                                                sent_at, now_);
      Apply(&instance, items);
      instance.view.AdvanceTo(revision);
    }
    Confirm(&instance);
    Send(number, instance.queries->TakeResponses(now_));
    MakeCallAfter(number, delay);
  }

  void Query(int number, const StoreCall& call) {
    auto reader = std::stoi(call.reader.str().substr(1));
    Millis sent_at = now_;
    auto done = std::make_shared<bool>(false);
    uint64_t generation = instances_[number].generation;
    auto respond = [this, number, generation, call, sent_at,
                    done](std::optional<StoreChanges> changes) {
      AtProcess(number, generation, now_ + ResponseDelay(),
                [this, number, call, sent_at, done, changes] {
                  if (!*done) {
                    *done = true;
                    OnReaderResponse(number, call, changes, sent_at);
                  }
                });
    };
    AtInstance(number, now_ + call.timeout + kReaderResponseTime,
               [this, number, call, done] {
                 if (!*done) {
                   *done = true;
                   OnReaderFailure(number, call.reader,
                                   ReaderFailure::kNoResponse);
                 }
               });
    bool connected = now_ >= instances_[number].no_peers_until &&
                     now_ >= instances_[reader].no_peers_until;
    if (connected) {
      AtInstance(
          reader, now_ + Millis(Uniform(1, 20)),
          [this, reader, call, respond] { OnQuery(reader, call, respond); });
    }
  }
  void OnQuery(int number, const StoreCall& call,
               std::function<void(std::optional<StoreChanges>)> respond) {
    Instance& instance = instances_[number];
    if (instance.follower->unavailable()) {
      respond(std::nullopt);
      return;
    }
    instance.follower->OnQueried(now_);
    uint64_t id = ++instance.last_query;
    instance.held[id] = std::move(respond);
    instance.queries->Add(id, call.revision, call.timeout, now_);
    SendDue(number);
  }
  void SendDue(int number) {
    Instance& instance = instances_[number];
    Send(number, instance.queries->TakeResponses(now_));
    Millis due = instance.queries->NextDue();
    if (due != Millis(0)) {
      AtInstance(number, std::max(due, now_ + Millis(1)),
                 [this, number] { SendDue(number); });
    }
  }
  void Send(int number,
            const std::vector<FollowerQueries::Response>& responses) {
    for (const FollowerQueries::Response& response : responses) {
      auto node = instances_[number].held.extract(response.query_id);
      node.mapped()(response.changes);
    }
  }
  void OnReaderResponse(int number, const StoreCall& call,
                        const std::optional<StoreChanges>& changes,
                        Millis sent_at) {
    if (!changes) {
      OnReaderFailure(number, call.reader, ReaderFailure::kNotCurrent);
      return;
    }
    Instance& instance = instances_[number];
    if (!instance.follower->Accepts(*changes)) {
      OnReaderFailure(number, call.reader, ReaderFailure::kNotCurrent);
      return;
    }
    Millis delay = instance.follower->OnReaderChanges(call.reader, *changes,
                                                      sent_at, now_);
    if (!instance.follower->has_synced()) {
      MakeCallAfter(number, delay);  // The reader had not all of it.
      return;
    }
    if (changes->complete) {
      ApplyAll(&instance, changes->items, changes->revision);
    } else {
      Apply(&instance, changes->items);
      instance.view.AdvanceTo(changes->revision);
    }
    Confirm(&instance);
    MakeCallAfter(number, delay);
  }
  void OnReaderFailure(int number, const MachineId& reader,
                       ReaderFailure failure) {
    MakeCallAfter(number, instances_[number].follower->OnReaderFailure(
                              reader, failure, now_));
  }

  // The view of an instance.

  static void ApplyOne(Instance* instance, const StoreItem& item) {
    StoreRevision& revision = instance->applied[item.key];
    REQUIRE(item.revision >= revision);  // Nothing goes back.
    revision = item.revision;
  }
  static void Apply(Instance* instance, const std::vector<StoreItem>& items) {
    std::map<std::string, std::string> known;
    for (const StoreItem& item : instance->view.AllItems()) {
      known[item.key] = ContentOf(item.value);
    }
    for (const StoreItem& item : items) {
      if (instance->view.HasRevisionOf(item)) {
        continue;
      }
      bool relevant = known[item.key] != ContentOf(item.value);
      instance->view.Apply(item, relevant);
      known[item.key] = ContentOf(item.value);
      ApplyOne(instance, item);
    }
  }
  static void ApplyAll(Instance* instance, const std::vector<StoreItem>& items,
                       StoreRevision revision) {
    for (const StoreItem& item : items) {
      ApplyOne(instance, item);
    }
    instance->read_revision = revision;
    instance->view.Reset(items, revision);
  }

  // Checks.

  // Whether the instance knows every relevant change until `until`.
  bool KnowsChangesUntil(Instance& instance, Millis until) const {
    std::map<std::string, StoreRevision> wanted;
    for (auto it = changes_.rbegin(); it != changes_.rend(); ++it) {
      if (it->at <= until && it->relevant) {
        wanted.try_emplace(it->item.key, it->item.revision);
      }
      if (wanted.size() == 40 || until - it->at > Millis(20000)) {
        break;
      }
    }
    for (const auto& [key, revision] : wanted) {
      auto it = instance.applied.find(key);
      StoreRevision applied =
          it == instance.applied.end() ? StoreRevision() : it->second;
      if (std::max(applied, instance.read_revision) < revision) {
        UNSCOPED_INFO(key << " wanted " << revision.number << " has "
                          << applied.number);
        return false;
      }
    }
    return true;
  }

  void Check(int number) {
    Instance& instance = instances_[number];
    bool runs = instance.alive && now_ >= instance.frozen_until;
    if (!runs || !StoreResponds(instance) || !instance.follower->has_synced()) {
      instance.store_reachable_since = now_;
    }
    if (!runs) {
      return;
    }
    INFO("instance " << number << " at " << now_.count());
    Millis confirmed_at = instance.follower->confirmed_at();
    if (confirmed_at != instance.checked_confirmation) {
      instance.checked_confirmation = confirmed_at;
      ++confirmations_;
      REQUIRE(confirmed_at <= now_);
      // A write at the very moment of the confirmation may come after it.
      bool knows = KnowsChangesUntil(instance, confirmed_at - Millis(kStepMs));
      REQUIRE(knows);
    }
    if (instance.freshness->MayRefuse(1, now_) && now_.count() % 50 == 0) {
      ++refusals_allowed_;
      // Also at an instance that is cut off, or whose reader is.
      bool knows =
          KnowsChangesUntil(instance, now_ - kApplyBound - Millis(kStepMs));
      REQUIRE(knows);
    }
    Millis in_touch_since = instance.store_reachable_since + kContactTime;
    if (!slow_transfers_ && now_ - in_touch_since > kApplyBound &&
        now_.count() % 50 == 0) {
      bool knows = KnowsChangesUntil(instance, now_ - kApplyBound);
      REQUIRE(knows);
    }
  }

  std::mt19937 random_;
  Millis now_{1000};
  std::priority_queue<Event> events_;
  uint64_t last_event_ = 0;
  std::vector<Instance> instances_;
  std::map<std::string, StoreItem> items_;
  std::vector<Change> changes_;
  int64_t revision_ = 0;
  int64_t compacted_revision_ = 0;
  const bool loses_writes_;
  const bool slow_transfers_;
  bool writes_ = true;
  int64_t era_ = 0;
  std::vector<StoreItem> history_;  // Of the store, in this era.
  std::vector<Copy> copies_;
  Millis next_copy_at_;
  Millis next_loss_at_{5000};
  Millis store_down_until_;
  int64_t store_calls_ = 0;
  int64_t confirmations_ = 0;
  int64_t refusals_allowed_ = 0;  // Of the moments that were checked.
};

// More by hand.
unsigned EraSeedCount() {
  const char* text = std::getenv("BILBERRYPITCH_ERA_SEEDS");
  return text == nullptr ? 16U
                         : static_cast<unsigned>(std::max(1, std::atoi(text)));
}

}  // namespace

// Long seeded run. What an instance believes to be current is current, and an
// instance that the store responds to applies each change in time, whatever
// its readers do.
TEST_CASE("views stay current while readers fail", "[store_follower][long]") {
  auto seed = GENERATE(range(1U, 13U));
  CAPTURE(seed);
  int instances = seed % 2 == 0 ? 6 : 20;
  ZoneSimulation zone(seed, instances);
  zone.Run(Millis(60 * 1000), true);
  REQUIRE(zone.confirmations() > 50 * instances);
}

// Long seeded run. Guards against: an instance that may refuse a request by its
// view, for all it knows, lacks a change that was acknowledged longer ago than
// the bound: it fetches a large one, is cut off, frozen, starts, or follows a
// reader that does.
TEST_CASE("an instance refuses by no view that is older than the bound",
          "[store_follower][long]") {
  auto seed = GENERATE(range(1U, 13U));
  const bool loses_writes = GENERATE(false, true);
  CAPTURE(seed, loses_writes);
  int instances = seed % 2 == 0 ? 6 : 16;
  ZoneSimulation zone(seed, instances, loses_writes, true);
  zone.Run(Millis(60 * 1000), true);
  // A third of the moments at least.
  REQUIRE(zone.refusals_allowed() * 3 > 60 * 1000 / 50 * instances);
}

// Long seeded run. The store loses its latest writes again and again, gives
// their revisions out again, and none of what was lost stays in a view.
TEST_CASE("views follow a store that comes back from copies",
          "[store_follower][era][long]") {
  auto seed = GENERATE(range(1U, 1 + EraSeedCount()));
  CAPTURE(seed);
  int instances = seed % 2 == 0 ? 4 : 12;
  ZoneSimulation zone(seed, instances, true);
  zone.Run(Millis(60 * 1000), true);
  REQUIRE(zone.era() > 3);
  zone.Settle();
  REQUIRE(zone.HasConverged());
}

// Pattern: the calls to the store of a zone without failures.
TEST_CASE("calls to the store do not grow with the followers",
          "[store_follower][long]") {
  ZoneSimulation small(1, 15);
  small.Run(Millis(30 * 1000), false);
  ZoneSimulation large(1, 90);
  large.Run(Millis(30 * 1000), false);
  // Every instance reads the members of the zone. After that one reader calls
  // the store in the small zone and three do in the large one.
  REQUIRE(large.store_calls() - 90 < 4 * (small.store_calls() - 15));
  REQUIRE(small.store_calls() < 15 + 2 * 30 * 2);
}

}  // namespace bilberrypitch
