// Questions to other instances, and the reading of records.
#include "gateway/stream_search.h"

#include <algorithm>
#include <utility>

#include "base/log.h"
#include "gateway/cluster_records.h"
#include "gateway/peer_messenger.h"
#include "schema/cluster.pb.h"
#include "serving/cluster_store.h"
#include "transport/event_loop.h"

namespace bilberrypitch {
namespace {

// A question is repeated once, and its answers are awaited for this long.
constexpr Millis kRepeatTime{60};
constexpr Millis kSearchTime{180};

}  // namespace

StreamSearch::StreamSearch(EventLoop* loop, ClusterStore* store,
                           PeerMessenger* peers, Hooks hooks)
    : store_(store), peers_(peers), hooks_(std::move(hooks)), timer_(loop) {}

void StreamSearch::Start(StreamKey key, const ServiceId& service, Done done) {
  Millis now = EventLoop::Now();
  Search search;
  search.key = key;
  search.service = service;
  search.done = std::move(done);
  search.asked = hooks_.whom_to_ask();
  search.started_at = now;
  search.repeat_at = now + kRepeatTime;
  search.judged_at = now + kSearchTime;
  const uint64_t nonce = ++last_nonce_;
  const bool alone = search.asked.empty();
  Ask(search, nonce);
  searches_.emplace(nonce, std::move(search));
  if (alone) {
    Judge(nonce);
  } else {
    ScheduleCheck();
  }
}

void StreamSearch::Ask(const Search& search, uint64_t nonce) {
  schema::PeerItem item;
  item.mutable_stream_question()->set_nonce(nonce);
  item.mutable_stream_question()->set_stream(static_cast<uint64_t>(search.key));
  item.mutable_stream_question()->set_service(search.service.str());
  for (const MachineId& machine : search.asked) {
    peers_->Send(machine, item);
  }
}

void StreamSearch::OnAnswer(const MachineId& from,
                            const schema::StreamAnswer& answer) {
  auto it = searches_.find(answer.nonce());
  if (it == searches_.end()) {
    return;
  }
  Search& search = it->second;
  if (answer.known()) {
    auto done = std::move(search.done);
    searches_.erase(it);
    done({ServiceId(answer.service()), SoftwareVersion(answer.software())});
    return;
  }
  search.ignorant.insert(from);
  for (const std::string& version : answer.served()) {
    search.served_elsewhere.insert(SoftwareVersion(version));
  }
  if (search.ignorant.size() >= search.asked.size()) {
    Judge(answer.nonce());
  }
}

// Nobody who was asked knows the stream: it is of the only version that there
// has been, if that is certain, or the store knows more. A view from before the
// search may lack a version at which the stream has begun since, and so may the
// views of those who have answered.
void StreamSearch::Judge(uint64_t nonce) {
  auto node = searches_.extract(nonce);
  Search& search = node.mapped();
  std::optional<SoftwareVersion> only = hooks_.only_version(search.service);
  const Millis view_at = EventLoop::Now() - hooks_.view_age();
  bool is_certain = only && view_at >= search.started_at;
  for (const SoftwareVersion& version : search.served_elsewhere) {
    is_certain = is_certain && version == *only;
  }
  if (is_certain) {
    End(search, *only);
    return;
  }
  waiting_for_read_.push_back(std::move(search));
  if (reading_for_.empty()) {
    reading_for_ = std::exchange(waiting_for_read_, {});
    ReadRecords("");
  }
}

void StreamSearch::ReadRecords(const std::string& after_key) {
  store_->ReadPage(StreamRecordsPrefix(), after_key,
                   [this](const StorePage& page) {
                     for (const StoreItem& item : page.items) {
                       hooks_.apply(item);
                     }
                     bool ok = page.outcome == StoreOutcome::kOk;
                     if (ok && page.more && !page.items.empty()) {
                       ReadRecords(page.items.back().key);
                     } else {
                       OnRecordsRead(ok);
                     }
                   });
}

void StreamSearch::OnRecordsRead(bool ok) {
  for (const Search& search : std::exchange(reading_for_, {})) {
    std::optional<StreamOrigin> origin = hooks_.known(search.key);
    std::optional<SoftwareVersion> only = hooks_.only_version(search.service);
    if (origin && origin->service == search.service) {
      End(search, origin->software);
    } else if (ok && only) {
      End(search, *only);
    } else {
      End(search, SoftwareVersion());
    }
  }
  if (!waiting_for_read_.empty()) {
    reading_for_ = std::exchange(waiting_for_read_, {});
    ReadRecords("");
  }
}

void StreamSearch::End(const Search& search,
                       const SoftwareVersion& software) const {
  LogInfo("request",
          "Stream of service={} is not known to {} of {}, age_ms={} "
          "taken_for={}.",
          search.service.str(), search.ignorant.size(), search.asked.size(),
          hooks_.view_age().count(), software.str());
  search.done({search.service, software});
}

void StreamSearch::ScheduleCheck() {
  Millis next;
  for (const auto& [nonce, search] : searches_) {
    Millis due =
        search.repeat_at != Millis(0) ? search.repeat_at : search.judged_at;
    if (next == Millis(0) || due < next) {
      next = due;
    }
  }
  if (next != Millis(0)) {
    timer_.Start(std::max(Millis(1), next - EventLoop::Now()),
                 [this] { CheckTimes(); });
  }
}

void StreamSearch::CheckTimes() {
  Millis now = EventLoop::Now();
  std::vector<uint64_t> due;
  for (auto& [nonce, search] : searches_) {
    if (search.repeat_at != Millis(0) && now >= search.repeat_at) {
      search.repeat_at = Millis(0);
      Ask(search, nonce);
    } else if (now >= search.judged_at) {
      due.push_back(nonce);
    }
  }
  for (uint64_t nonce : due) {
    Judge(nonce);
  }
  ScheduleCheck();
}

}  // namespace bilberrypitch
