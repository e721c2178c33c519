// Freshness queries to peers, and the transfer of their cached items.
#include "gateway/freshness_service.h"

#include <algorithm>
#include <optional>
#include <string>

#include "base/log.h"
#include "gateway/cluster_records.h"
#include "gateway/known_items.h"
#include "gateway/peer_messenger.h"
#include "gateway/store_sync.h"
#include "schema/cluster.pb.h"
#include "serving/freshness.h"
#include "transport/event_loop.h"
#include "transport/event_loop_http_client.h"

namespace bilberrypitch {
namespace {

constexpr Millis kQueryPeriod{350};
constexpr size_t kPeersPerQuery = 3;
// Some may have been cut off as well.
constexpr size_t kPeersPerOutage = 8;
constexpr Millis kFetchPeriod{900};
constexpr Millis kFetchTimeout{600};
// For a response that keeps coming.
constexpr Millis kMaxFetchTime{5000};
constexpr char kStatePath[] = "/state";
constexpr char kPackedStateTarget[] = "/state?packed=1";
constexpr int kOkStatus = 200;
constexpr int kServiceUnavailableStatus = 503;

}  // namespace

FreshnessService::FreshnessService(EventLoop* loop, EventLoopHttpClient* client,
                                   PeerMessenger* peers, StoreSync* sync,
                                   Freshness* freshness, Millis query_from_age)
    : client_(client),
      peers_(peers),
      sync_(sync),
      freshness_(freshness),
      query_from_age_(query_from_age),
      timer_(loop) {
  CheckAge();
}

void FreshnessService::OnConfigRevision(StoreRevision revision) {
  config_revision_ = std::max(config_revision_, revision);
}

void FreshnessService::CheckAge() {
  Millis now = EventLoop::Now();
  Millis age = freshness_->Age(now);
  if (!freshness_->ever_confirmed() || age > query_from_age_) {
    QueryPeers(kPeersPerQuery, now);
    timer_.Start(kQueryPeriod, [this] { CheckAge(); });
    return;
  }
  timer_.Start(std::max(kQueryPeriod, query_from_age_ - age),
               [this] { CheckAge(); });
}

bool FreshnessService::AskForOutage() {
  QueryPeers(kPeersPerOutage, EventLoop::Now());
  return !peers_->peers().empty();
}

void FreshnessService::QueryPeers(size_t count, Millis now) {
  ++query_nonce_;
  query_sent_at_ = now;
  schema::PeerItem item;
  item.mutable_question()->set_nonce(query_nonce_);
  item.mutable_question()->set_address(peers_->address());
  // Consecutive queries go to different peers, in turn.
  size_t peer_count = peers_->peers().size();
  size_t first = peer_count == 0 ? 0 : (query_nonce_ * count) % peer_count;
  size_t index = 0;
  for (const auto& [machine, member] : peers_->peers()) {
    if ((index++ + peer_count - first) % peer_count < count) {
      peers_->Send(machine, item);
    }
  }
}

void FreshnessService::OnQuery(const schema::FreshnessQuestion& query) {
  if (!freshness_->ever_confirmed() || config_revision_ == StoreRevision()) {
    return;
  }
  schema::PeerItem item;
  auto* response = item.mutable_answer();
  response->set_nonce(query.nonce());
  response->set_age_ms(freshness_->Age(EventLoop::Now()).count());
  response->set_config_revision(EncodeRevision(config_revision_));
  response->set_store_revision(EncodeRevision(sync_->follower()->revision()));
  response->set_longest_gap_ms(
      sync_->follower()->outage().LongestGap(EventLoop::Now()).count());
  peers_->SendToAddress(query.address(), std::move(item));
}

void FreshnessService::OnQueryResponse(
    const MachineId& from, const schema::FreshnessAnswer& response) {
  if (response.nonce() != query_nonce_) {
    return;  // Responds to an earlier query, whose send time is not kept.
  }
  Millis now = EventLoop::Now();
  StoreRevision config_revision = DecodeRevision(response.config_revision());
  StoreRevision store_revision = DecodeRevision(response.store_revision());
  if (store_revision.era < sync_->follower()->era()) {
    return;  // The peer's view is of a lost past.
  }
  sync_->OnPeerGap(Millis(std::max<int64_t>(0, response.longest_gap_ms())));
  if (config_revision_ != StoreRevision() &&
      config_revision == config_revision_) {
    freshness_->OnConfirmed(query_sent_at_ - Millis(response.age_ms()));
  }
  StoreRevision known_revision =
      std::max(sync_->follower()->revision(), peer_revision_);
  bool newer =
      config_revision > config_revision_ || store_revision > known_revision;
  if (newer && now >= next_fetch_at_) {
    next_fetch_at_ = now + kFetchPeriod;
    FetchState(from);
  }
}

void FreshnessService::FetchState(const MachineId& from) {
  auto it = peers_->peers().find(from);
  if (it == peers_->peers().end()) {
    return;
  }
  HttpCall call;
  call.address = it->second.address;
  call.target = kPackedStateTarget;
  call.timeouts.connect = kFetchTimeout;
  call.timeouts.first_byte = kFetchTimeout;
  call.timeouts.idle = kFetchTimeout;
  call.timeouts.total = kMaxFetchTime;
  call.on_done = [this,
                  requested_at = EventLoop::Now()](const CallOutcome& outcome) {
    schema::KnownState state;
    bool ok = outcome.result == CallResult::kComplete &&
              outcome.status == kOkStatus &&
              state.ParseFromString(outcome.body);
    if (ok) {
      ApplyState(state, requested_at);
    } else {
      LogWarning("peer", "Failed to fetch the state of a peer, status={}.",
                 outcome.status);
    }
  };
  client_->Start(std::move(call));
}

void FreshnessService::ApplyState(const schema::KnownState& state,
                                  Millis requested_at) {
  if (!sync_->follower()->unavailable() && sync_->follower()->has_synced()) {
    return;  // The store itself has responded in the meantime.
  }
  StoreRevision store_revision = DecodeRevision(state.store_revision());
  if (!sync_->OnEra(store_revision.era)) {
    return;
  }
  LogInfo("peer", "Took the state up to era={} revision={} from a peer.",
          store_revision.era, store_revision.number);
  for (const schema::KnownItem& known : state.items()) {
    if (std::optional<StoreItem> item = DecodeItem(known)) {
      sync_->ApplyForeignItem(*item);
    }
  }
  peer_revision_ = std::max(peer_revision_, store_revision);
  if (DecodeRevision(state.config_revision()) == config_revision_) {
    freshness_->OnConfirmed(requested_at - Millis(state.age_ms()));
  }
}

HttpResponse FreshnessService::OnStateRequest(const HttpRequest& request) {
  HttpResponse response;
  if (request.path != kStatePath || config_revision_ == StoreRevision()) {
    response.status = kServiceUnavailableStatus;
    return response;
  }
  schema::KnownState state;
  PackedValueCache* cache = request.query.find("packed=1") != std::string::npos
                                ? &packed_values_
                                : nullptr;
  for (const StoreItem& item : sync_->view().AllItems()) {
    if (!IsClusterKey(item.key) || item.key == KeptConfigKey()) {
      EncodeItem(item, cache, state.add_items());
    }
  }
  state.set_store_revision(
      EncodeRevision(std::max(sync_->follower()->revision(), peer_revision_)));
  state.set_config_revision(EncodeRevision(config_revision_));
  state.set_age_ms(freshness_->Age(EventLoop::Now()).count());
  response.body = state.SerializeAsString();
  return response;
}

}  // namespace bilberrypitch
