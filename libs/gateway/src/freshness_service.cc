// Questions to peers about the store.
#include "gateway/freshness_service.h"

#include <algorithm>

#include "base/log.h"
#include "gateway/peer_messenger.h"
#include "gateway/store_sync.h"
#include "schema/cluster.pb.h"
#include "serving/freshness.h"
#include "transport/event_loop.h"
#include "transport/event_loop_http_client.h"

namespace bilberrypitch {
namespace {

constexpr Millis kAskPeriod{350};
constexpr size_t kPeersAsked = 3;
constexpr Millis kFetchPeriod{900};
constexpr Millis kFetchDeadline{600};
constexpr char kStatePath[] = "/state";
constexpr int kOk = 200;
constexpr int kUnavailable = 503;

}  // namespace

FreshnessService::FreshnessService(EventLoop* loop, EventLoopHttpClient* client,
                                   PeerMessenger* peers, StoreSync* sync,
                                   Freshness* freshness, Millis ask_from_age,
                                   std::function<void(const StoreItem&)> take)
    : client_(client),
      peers_(peers),
      sync_(sync),
      freshness_(freshness),
      ask_from_age_(ask_from_age),
      take_(std::move(take)),
      timer_(loop) {
  Watch();
}

void FreshnessService::CacheItem(const StoreItem& item) {
  if (item.deleted) {
    known_.erase(item.key);
  } else {
    known_[item.key] = item;
  }
}

void FreshnessService::RemoveCachedItem(const std::string& key) {
  known_.erase(key);
}

void FreshnessService::OnConfigRevision(int64_t revision) {
  config_revision_ = std::max(config_revision_, revision);
}

void FreshnessService::Watch() {
  Millis now = EventLoop::Now();
  Millis age = freshness_->Age(now);
  if (!freshness_->ever_confirmed() || age > ask_from_age_) {
    Ask(now);
    timer_.Start(kAskPeriod, [this] { Watch(); });
    return;
  }
  timer_.Start(std::max(kAskPeriod, ask_from_age_ - age), [this] { Watch(); });
}

void FreshnessService::Ask(Millis now) {
  ++question_;
  question_sent_ = now;
  schema::PeerItem item;
  item.mutable_question()->set_nonce(question_);
  item.mutable_question()->set_address(peers_->address());
  size_t n = peers_->peers().size();
  size_t skip = n == 0 ? 0 : (question_ * kPeersAsked) % n;
  size_t i = 0;
  for (const auto& [machine, member] : peers_->peers()) {
    if ((i++ + n - skip) % n < kPeersAsked) {
      peers_->Send(machine, item);
    }
  }
}

void FreshnessService::OnQuery(const schema::FreshnessQuestion& question) {
  if (!freshness_->ever_confirmed() || config_revision_ == 0) {
    return;
  }
  schema::PeerItem item;
  auto* answer = item.mutable_answer();
  answer->set_nonce(question.nonce());
  answer->set_age_ms(freshness_->Age(EventLoop::Now()).count());
  answer->set_config_revision(config_revision_);
  answer->set_store_revision(sync_->revision());
  peers_->SendToAddress(question.address(), std::move(item));
}

void FreshnessService::OnQueryResponse(const MachineId& from,
                                       const schema::FreshnessAnswer& answer) {
  if (answer.nonce() != question_) {
    return;  // To an earlier question: its age can't be told.
  }
  Millis now = EventLoop::Now();
  if (config_revision_ != 0 && answer.config_revision() == config_revision_) {
    freshness_->OnConfirmed(question_sent_ - Millis(answer.age_ms()));
  }
  int64_t known = std::max(sync_->revision(), peer_revision_);
  bool newer = answer.config_revision() > config_revision_ ||
               answer.store_revision() > known;
  if (newer && now >= next_fetch_) {
    next_fetch_ = now + kFetchPeriod;
    Fetch(from);
  }
}

void FreshnessService::Fetch(const MachineId& from) {
  auto it = peers_->peers().find(from);
  if (it == peers_->peers().end()) {
    return;
  }
  HttpCall call;
  call.address = it->second.address;
  call.target = kStatePath;
  call.timeouts.connect = kFetchDeadline;
  call.timeouts.first_byte = kFetchDeadline;
  call.timeouts.total = kFetchDeadline * 2;
  call.on_done = [this, asked = EventLoop::Now()](const CallOutcome& outcome) {
    schema::KnownState known;
    bool ok = outcome.result == CallResult::kComplete &&
              outcome.status == kOk && known.ParseFromString(outcome.body);
    if (ok) {
      OnState(known, asked);
    } else {
      LogWarning("peer", "A peer's state was not read, status={}.",
                 outcome.status);
    }
  };
  client_->Start(std::move(call));
}

void FreshnessService::OnState(const schema::KnownState& known, Millis asked) {
  if (!sync_->unavailable() && sync_->has_synced()) {
    return;  // The store's own word has come meanwhile.
  }
  LogInfo("peer", "Took the state up to revision={} from a peer.",
          known.store_revision());
  for (const schema::KnownItem& it : known.items()) {
    StoreItem item;
    item.key = it.key();
    item.value = it.value();
    item.revision = it.revision();
    auto held = known_.find(item.key);
    if (held == known_.end() || held->second.revision < item.revision) {
      take_(item);
    }
  }
  peer_revision_ = std::max(peer_revision_, known.store_revision());
  if (known.config_revision() == config_revision_) {
    freshness_->OnConfirmed(asked - Millis(known.age_ms()));
  }
}

HttpResponse FreshnessService::OnStateRequest(const HttpRequest& request) {
  HttpResponse response;
  if (request.path != kStatePath || config_revision_ == 0) {
    response.status = kUnavailable;
    return response;
  }
  schema::KnownState known;
  for (const auto& [key, item] : known_) {
    schema::KnownItem* it = known.add_items();
    it->set_key(item.key);
    it->set_value(item.value);
    it->set_revision(item.revision);
  }
  known.set_store_revision(std::max(sync_->revision(), peer_revision_));
  known.set_config_revision(config_revision_);
  known.set_age_ms(freshness_->Age(EventLoop::Now()).count());
  response.body = known.SerializeAsString();
  return response;
}

}  // namespace bilberrypitch
