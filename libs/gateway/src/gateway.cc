// Wires listeners, store, peers, orders and requests of one instance.
#include "gateway/gateway.h"

#include <fmt/format.h>

#include <algorithm>
#include <set>
#include <unordered_map>

#include "base/hash.h"
#include "base/log.h"
#include "gateway/crash_suspicions.h"
#include "gateway/lease_keeper.h"
#include "gateway/order_service.h"
#include "gateway/own_records.h"
#include "gateway/peer_link.h"
#include "gateway/rate_service.h"
#include "gateway/request_run.h"
#include "gateway/serving_state.h"
#include "gateway/store_sync.h"
#include "schema/cluster.pb.h"
#include "serving/cluster_store.h"
#include "serving/edge_codec.h"
#include "transport/address.h"
#include "transport/event_loop.h"
#include "transport/http_server.h"
#include "transport/loop_client.h"

namespace bilberrypitch {
namespace {

// Long enough that owners go on through a short outage of the store, short
// enough that a dead owner's engines get another one.
constexpr Millis kLeaseTime{6000};
constexpr Millis kUsePeriod{100};
constexpr Millis kUseAgainPeriod{1500};
constexpr Millis kLoadPeriod{15};
constexpr size_t kLoadInstancesSquared = 200;
// Knowledge of this age is refreshed from peers,
constexpr Millis kAskPeersAge{2400};
// at the latest at this part of the withdrawal bound.
constexpr int64_t kAskPeersParts = 2;
constexpr Millis kAskPeersPeriod{350};
constexpr size_t kPeersAsked = 3;
constexpr Millis kStateFetchPeriod{900};
constexpr Millis kStateFetchDeadline{600};
// The balancer takes an instance out after two misses, one a second.
constexpr Millis kNoticedByBalancer{2600};
// Before the platform's kill.
constexpr Millis kStopMargin{700};
constexpr Millis kStopCheck{50};
// For the last answers to leave.
constexpr Millis kFlushTime{150};
constexpr Millis kStoppingRetry{50};
constexpr char kStatePath[] = "/state";
constexpr int kOk = 200;
constexpr int kUnavailable = 503;
ModelRef RefOf(const schema::ModelName& it) {
  return ModelRef{ModelId(it.model()), AdapterId(it.adapter())};
}

schema::AdapterPlace ToWire(AdapterPlace place) {
  switch (place) {
    case AdapterPlace::kReady:
      return schema::PLACE_READY;
    case AdapterPlace::kEvicted:
      return schema::PLACE_EVICTED;
    case AdapterPlace::kFull:
      return schema::PLACE_FULL;
  }
  return schema::PLACE_UNKNOWN;
}

// What is not known is treated as gone: it is asked for again.
AdapterPlace FromWire(schema::AdapterPlace place) {
  switch (place) {
    case schema::PLACE_READY:
      return AdapterPlace::kReady;
    case schema::PLACE_FULL:
      return AdapterPlace::kFull;
    default:
      return AdapterPlace::kEvicted;
  }
}

void SetName(schema::ModelName* to, const ModelRef& from) {
  to->set_model(from.model.str());
  to->set_adapter(from.adapter.str());
}

}  // namespace

class Gateway::Impl {
 public:
  Impl(const InstanceSettings& settings, GatewayPorts ports)
      : ports_(std::move(ports)),
        loop_(ports_.loop),
        self_{settings.machine, BootId(RandomHex(8)), settings.zone,
              settings.peer_address},
        state_(settings, BookHooks()),
        ownership_(self_, settings.bounds.order_turn, EventLoop::Now()),
        lease_(loop_, ports_.store,
               std::max(kLeaseTime, settings.shortest_lease), LeaseHooks()),
        sync_(loop_, ports_.store, PaceFor(settings.bounds), SyncHooks()),
        ask_peers_age_(std::min(
            kAskPeersAge,
            Millis(settings.bounds.withdraw.count() / kAskPeersParts))),
        peers_(loop_, self_,
               [this](const MachineId& from, const schema::PeerItem& item) {
                 OnPeerItem(from, item);
               }),
        orders_(loop_, self_.machine, &ownership_, &lease_, &state_.upstreams,
                ports_.engines, OrderHooks()),
        rates_(loop_, self_.machine, RateMarginOf(settings.bounds), &ownership_,
               &lease_, &peers_),
        suspicions_([this](uint64_t fingerprint, const CrashId& crash) {
          OnCrash(fingerprint, crash, true);
        }),
        claim_timer_(loop_),
        expire_timer_(loop_),
        use_timer_(loop_),
        use_again_timer_(loop_),
        load_timer_(loop_),
        fresh_timer_(loop_),
        stop_timer_(loop_) {
    SetRequestDeps();
    Listen();
    sync_.Start();
    lease_.Start();
    WatchFreshness();
    TellUsesAgain();
    LogInfo("gateway", "Started machine={} zone={} boot={}.",
            self_.machine.str(), self_.zone.str(), self_.boot.str());
  }

  ~Impl() {
    callers_->Stop();
    ready_->Stop();
    peer_server_->Stop();
  }

  void Stop(std::function<void()> done) {
    if (state_.stopping) {
      return;
    }
    state_.stopping = true;
    stop_begun_ = EventLoop::Now();
    stop_done_ = std::move(done);
    LogInfo("gateway", "Stopping with {} open requests.", active_.size());
    CheckStop();
  }

 private:
  // ---- Construction.

  UpstreamBook::Hooks BookHooks() {
    UpstreamBook::Hooks hooks;
    hooks.on_started = [this](const UpstreamState& it) { OnStarted(it); };
    hooks.on_left = [this](const UpstreamId& it) { OnLeft(it); };
    hooks.on_load = [this](const UpstreamId& it) { OnLoadChanged(it); };
    return hooks;
  }

  LeaseKeeper::Hooks LeaseHooks() {
    LeaseKeeper::Hooks hooks;
    hooks.on_granted = [this](int64_t lease) {
      ownership_.OnLease(lease);
      Register();
      ScheduleClaims();
    };
    hooks.on_lost = [this] {
      ownership_.OnLease(0);
      for (const DutyId& duty : ownership_.Duties()) {
        OnDutyOwner(duty);
      }
    };
    return hooks;
  }

  StoreSync::Hooks SyncHooks() {
    StoreSync::Hooks hooks;
    hooks.on_item = [this](const StoreItem& item, bool settling) {
      OnItem(item, settling);
    };
    hooks.on_relisting = [this] { ownership_.OnRelisting(); };
    hooks.on_listed = [this](const std::vector<StoreItem>& all, bool settling) {
      OnListed(all, settling);
    };
    hooks.on_confirmed = [this](Millis at) {
      state_.freshness.OnConfirmed(at);
    };
    hooks.on_lost = [] {};
    hooks.on_regained = [] {};
    return hooks;
  }

  OrderService::Hooks OrderHooks() {
    OrderService::Hooks hooks;
    hooks.tell = [this](const MachineId& machine, const UpstreamId& engine,
                        const ModelRef& target, int64_t version,
                        AdapterPlace place) {
      TellAdapter(machine, engine, target, version, place);
    };
    hooks.spec_of = [this](const UpstreamId& engine) { return SpecOf(engine); };
    hooks.named_version = [this](const ModelRef& target) {
      auto it = state_.named_versions.find(target);
      return it == state_.named_versions.end() ? int64_t{0} : it->second;
    };
    return hooks;
  }

  void SetRequestDeps() {
    deps_.loop = loop_;
    deps_.client = ports_.client;
    deps_.codec = ports_.codec;
    deps_.state = &state_;
    deps_.hooks.want_adapter = [this](const UpstreamId& engine,
                                      const ModelRef& target, int64_t version) {
      WantAdapter(engine, target, version);
    };
    deps_.hooks.adapter_missing = [this](const UpstreamId& engine,
                                         const ModelRef& target) {
      TellMissing(engine, target);
    };
    deps_.hooks.adapter_use = [this](const UpstreamId& engine,
                                     const ModelRef& target, int change) {
      CountUse(engine, target, change);
    };
    deps_.hooks.broken = [this](uint64_t fingerprint, const UpstreamId& id,
                                int64_t started_ms) {
      suspicions_.OnBroken(fingerprint, {id, started_ms}, EventLoop::Now());
    };
    deps_.hooks.unreachable = [this](const UpstreamId& id) {
      suspicions_.OnDown(id, EventLoop::Now());
    };
    deps_.hooks.take_rate = [this](const WorkspaceId& workspace, double cost,
                                   std::function<void(RateVerdict)> done) {
      rates_.Take(workspace, cost, std::move(done));
    };
    deps_.hooks.ended = [this](uint64_t connection) { OnEnded(connection); };
  }

  HttpServerOptions OptionsFor(const std::string& address) const {
    std::optional<Address> parsed = ParseAddress(address);
    HttpServerOptions options;
    options.bind_ip = parsed->ip;
    options.port = parsed->port;
    options.loop = loop_;
    return options;
  }

  void Listen() {
    HttpServerOptions options = OptionsFor(state_.settings.caller_address);
    options.max_body_bytes = CallerLimits().body_bytes;
    options.max_header_bytes = CallerLimits().header_bytes;
    options.on_closed = [this](uint64_t connection) {
      OnCallerClosed(connection);
    };
    callers_ = std::make_unique<HttpServer>(
        options,
        [this](HttpRequest request, std::shared_ptr<Responder> responder) {
          OnRequest(std::move(request), std::move(responder));
        });
    ready_ = std::make_unique<HttpServer>(
        OptionsFor(state_.settings.ready_address),
        [this](HttpRequest request, std::shared_ptr<Responder> responder) {
          responder->Send(OnReadyRequest(request));
        });
    peer_server_ = std::make_unique<HttpServer>(
        OptionsFor(state_.settings.peer_address),
        [this](HttpRequest request, std::shared_ptr<Responder> responder) {
          responder->Send(OnPeerRequest(request));
        });
  }

  // ---- Requests.

  void OnRequest(HttpRequest request, std::shared_ptr<Responder> responder) {
    uint64_t connection = request.connection;
    Error error;
    if (state_.stopping &&
        EventLoop::Now() - stop_begun_ > kNoticedByBalancer) {
      // Who still comes here keeps an old connection: it is to use another.
      error = {ErrorKind::kStopping, "This instance is stopping.",
               NotRun::kTrue};
      ++state_.counters.refused;
      Refuse(error, ports_.codec->RequestIdOf(request), kStoppingRetry,
             responder.get());
      return;
    }
    std::optional<ServingRequest> decoded =
        ports_.codec->DecodeRequest(std::move(request), &error);
    if (!decoded) {
      Refuse(error, RequestId(), Millis(0), responder.get());
      return;
    }
    auto run = std::make_shared<RequestRun>(&deps_, std::move(*decoded),
                                            std::move(responder), connection);
    active_.emplace(connection, run);
    run->Begin();
  }

  void Refuse(const Error& error, const RequestId& id, Millis retry_after,
              Responder* responder) {
    HttpResponse response = ports_.codec->EncodeError(error, id, retry_after);
    response.close_connection = state_.stopping;
    responder->Send(std::move(response));
  }

  void OnEnded(uint64_t connection) {
    // Called from within the run: it goes after this turn of the loop.
    loop_->Post([this, connection] {
      auto [from, to] = active_.equal_range(connection);
      for (auto it = from; it != to;) {
        it = it->second->finished() ? active_.erase(it) : std::next(it);
      }
    });
  }

  void OnCallerClosed(uint64_t connection) {
    loop_->Post([this, connection] {
      std::vector<std::shared_ptr<RequestRun>> left;
      auto [from, to] = active_.equal_range(connection);
      for (auto it = from; it != to; ++it) {
        left.push_back(it->second);
      }
      for (const auto& run : left) {
        run->OnCallerLeft();
      }
    });
  }

  // ---- What the store says.

  void OnItem(const StoreItem& item, bool settling) {
    StoreRecord record = ports_.decode_record(item);
    Millis now = EventLoop::Now();
    if (auto* config = std::get_if<ConfigRecord>(&record)) {
      known_[item.key] = item;
      OnConfig(std::move(config->config), item.revision);
    } else if (auto* upstream = std::get_if<UpstreamRecord>(&record)) {
      Remember(item);
      upstream_keys_[upstream->id] = item.key;
      OnUpstream(*upstream, now, settling);
    } else if (auto* version = std::get_if<AdapterVersionRecord>(&record)) {
      Remember(item);
      OnVersion(*version);
    } else if (auto* bad = std::get_if<UnreadableRecord>(&record)) {
      LogWarning("store", "Skipped a record that can't be read: {}.",
                 bad->reason);
    } else {
      OnOwnItem(item, now);
    }
    ScheduleClaims();
  }

  void Remember(const StoreItem& item) {
    if (item.deleted) {
      known_.erase(item.key);
    } else {
      known_[item.key] = item;
    }
  }

  void OnConfig(ServingConfig config, int64_t revision) {
    if (state_.config != nullptr &&
        config.version <= state_.config->version()) {
      // An older one never comes into force again.
      config_revision_ = std::max(config_revision_, revision);
      return;
    }
    config_revision_ = std::max(config_revision_, revision);
    LogInfo("config", "Version {} in force, revision={}, routes={}.",
            config.version, revision, config.routes.size());
    state_.config = std::make_shared<const ActiveConfig>(std::move(config));
    ApplyRates();
    for (const DutyId& duty : ownership_.Duties()) {
      OnDutyOwner(duty);
    }
    for (const auto& [id, it] : state_.upstreams.all()) {
      NoteEngine(*it);
    }
  }

  void ApplyRates() {
    Millis now = EventLoop::Now();
    rates_.SetWorkspaces(state_.config->config().workspaces);
    for (const Workspace& it : state_.config->config().workspaces) {
      if (it.rate_per_s > 0) {
        ownership_.OnDuty(RateDuty(it.id), ZoneId(), now);
      }
    }
    ScheduleClaims();
  }

  static RateMargin RateMarginOf(const ClusterBounds& bounds) {
    return {bounds.rate_over, bounds.rate_slack, bounds.rate_window.seconds()};
  }

  const EngineProfile* SpecOf(const UpstreamId& engine) {
    UpstreamState* it = state_.upstreams.Find(engine);
    if (it == nullptr || state_.config == nullptr) {
      return nullptr;
    }
    const Service* service = state_.config->FindService(it->entry.service);
    return service != nullptr && service->engine ? &*service->engine : nullptr;
  }

  // Engines of services with models have an owner; plain services don't.
  void NoteEngine(const UpstreamState& it) {
    if (!it.gone && SpecOf(it.entry.id) != nullptr) {
      ownership_.OnDuty(EngineDuty(it.entry.id), it.entry.zone,
                        EventLoop::Now());
    }
  }

  void OnUpstream(const UpstreamRecord& record, Millis now, bool settling) {
    state_.upstreams.OnRecord(record, now, settling);
    UpstreamState* it = state_.upstreams.Find(record.id);
    if (it != nullptr && record.entry) {
      NoteEngine(*it);
      state_.residency.SetBaseModels(record.id, record.entry->models);
    }
    ScheduleExpiry();
  }

  void OnStarted(const UpstreamState& it) {
    LogInfo("upstream", "Started id={} service={} address={} zone={}.",
            it.entry.id.str(), it.entry.service.str(), it.entry.address,
            it.entry.zone.str());
    suspicions_.OnDown(it.entry.id, EventLoop::Now());
    state_.residency.OnEngineReset(it.entry.id);
    orders_.OnEngineStarted(it.entry.id);
  }

  void OnLeft(const UpstreamId& id) {
    UpstreamState* it = state_.upstreams.Find(id);
    bool drains = it != nullptr && it->entry.draining && !it->gone;
    LogInfo("upstream", "Leaves id={} draining={}.", id.str(), drains);
    if (!drains) {
      suspicions_.OnDown(id, EventLoop::Now());
      ownership_.OnDutyGone(EngineDuty(id));
    }
    orders_.OnEngineLeft(id);
    state_.residency.OnEngineReset(id);
  }

  void OnVersion(const AdapterVersionRecord& record) {
    int64_t& named = state_.named_versions[record.adapter];
    if (record.version <= named) {
      return;
    }
    named = record.version;
    LogInfo("version", "Adapter {} is to be used in version {}.",
            ToString(record.adapter), record.version);
    orders_.OnVersion(record.adapter, record.version);
  }

  void OnOwnItem(const StoreItem& item, Millis now) {
    MachineId machine = MemberOfKey(item.key);
    if (!machine.empty()) {
      OnMemberItem(machine, item);
      return;
    }
    DutyId duty = DutyOfKey(item.key);
    if (duty.empty()) {
      return;
    }
    std::optional<OwnerRecord> owner;
    if (!item.deleted) {
      owner = DecodeOwner(item);
    }
    if (owner) {
      ownership_.OnOwner(duty, *owner, now);
    } else {
      ownership_.OnOwnerGone(duty, now);
    }
    OnDutyOwner(duty);
  }

  void OnDutyOwner(const DutyId& duty) {
    if (UpstreamId engine = EngineOf(duty); !engine.empty()) {
      orders_.OnOwnership(engine);
    }
    if (WorkspaceId workspace = WorkspaceOf(duty); !workspace.empty()) {
      rates_.OnOwnership(workspace);
    }
  }

  void OnMemberItem(const MachineId& machine, const StoreItem& item) {
    std::optional<ClusterMember> member;
    if (!item.deleted) {
      member = DecodeMember(item);
    }
    if (machine == self_.machine) {
      bool own = member && member->boot == self_.boot;
      if (!own && lease_.lease() != 0) {
        Register();  // The key of an earlier process, or it was removed.
      }
      return;
    }
    if (member) {
      bool fresh = peers_.peers().count(machine) == 0;
      ownership_.OnMember(*member);
      peers_.SetMember(*member);
      if (fresh) {
        LogInfo("peer", "Joined machine={} zone={}.", machine.str(),
                member->zone.str());
      }
    } else {
      LogInfo("peer", "Left machine={}.", machine.str());
      ownership_.OnMemberGone(machine);
      peers_.RemoveMember(machine);
      orders_.OnMachineGone(machine);
    }
    state_.instances = peers_.peers().size() + 1;
    rates_.OnMembers();
  }

  void OnListed(const std::vector<StoreItem>& all, bool settling) {
    std::set<std::string> keys;
    for (const StoreItem& it : all) {
      keys.insert(it.key);
    }
    std::vector<UpstreamId> upstreams;
    for (const auto& [id, key] : upstream_keys_) {
      if (keys.count(key) > 0) {
        upstreams.push_back(id);
      }
    }
    Millis now = EventLoop::Now();
    state_.upstreams.OnListed(upstreams, now, settling);
    std::erase_if(upstream_keys_, [&](const auto& it) {
      bool gone = keys.count(it.second) == 0;
      if (gone) {
        known_.erase(it.second);
      }
      return gone;
    });
    RemoveUnlistedOwn(keys, now);
    ownership_.OnSynced(now);
    ScheduleExpiry();
    ScheduleClaims();
  }

  void RemoveUnlistedOwn(const std::set<std::string>& keys, Millis now) {
    std::vector<MachineId> machines;
    for (const auto& [machine, member] : peers_.peers()) {
      if (keys.count(MemberKey(machine)) == 0) {
        machines.push_back(machine);
      }
    }
    for (const MachineId& machine : machines) {
      StoreItem gone;
      gone.key = MemberKey(machine);
      gone.deleted = true;
      OnMemberItem(machine, gone);
    }
    for (const DutyId& duty : ownership_.Duties()) {
      if (keys.count(OwnerKey(duty)) == 0) {
        ownership_.OnOwnerGone(duty, now);
        OnDutyOwner(duty);
      }
    }
  }

  // ---- Lease, membership and ownership.

  void Register() {
    StoreCommit commit;
    commit.writes.push_back(
        {MemberKey(self_.machine), EncodeMember(self_), lease_.lease()});
    ports_.store->Commit(std::move(commit), [this](const StoreCommitted& it) {
      if (it.outcome != StoreOutcome::kOk) {
        LogWarning("peer", "Registration was not acknowledged, outcome={}.",
                   static_cast<int>(it.outcome));
        // Its key is awaited by the watch; ask again if it does not come.
        register_timer_ = std::make_unique<Timer>(loop_);
        register_timer_->Start(kAskPeersPeriod, [this] {
          if (lease_.lease() != 0) {
            Register();
          }
        });
      }
    });
  }

  void ScheduleClaims() {
    if (lease_.lease() == 0 || state_.stopping) {
      claim_timer_.Start(kAskPeersPeriod, [this] { ScheduleClaims(); });
      return;
    }
    Millis now = EventLoop::Now();
    for (const DutyClaim& it : ownership_.Claims(now)) {
      WriteClaim(it);
    }
    Millis due = ownership_.NextDue(now);
    if (due != Millis(0)) {
      claim_timer_.Start(std::max(Millis(1), due - now),
                         [this] { ScheduleClaims(); });
    }
  }

  void WriteClaim(const DutyClaim& claim) {
    StoreCommit commit;
    std::string key = OwnerKey(claim.duty);
    commit.conditions.push_back({key, claim.revision});
    int64_t lease = lease_.lease();
    commit.writes.push_back({key, EncodeOwner(self_, claim.settled), lease});
    ports_.store->Commit(
        std::move(commit), [this, claim, lease](const StoreCommitted& it) {
          if (it.outcome != StoreOutcome::kOk) {
            return;  // The watch tells how it stands; it is tried again.
          }
          ownership_.OnOwner(
              claim.duty,
              {self_.machine, self_.boot, it.revision, lease, claim.settled},
              EventLoop::Now());
          OnDutyOwner(claim.duty);
          ScheduleClaims();
        });
  }

  void ScheduleExpiry() {
    Millis now = EventLoop::Now();
    Millis due = state_.upstreams.Expire(now);
    if (due != Millis(0)) {
      expire_timer_.Start(std::max(Millis(1), due - now),
                          [this] { ScheduleExpiry(); });
    }
  }

  // ---- Adapters.

  void WantAdapter(const UpstreamId& engine, const ModelRef& target,
                   int64_t version) {
    const OwnerRecord* owner = ownership_.OwnerOf(EngineDuty(engine));
    if (owner == nullptr) {
      return;
    }
    if (owner->machine == self_.machine) {
      orders_.OnWant(self_.machine, engine, target, version);
      return;
    }
    schema::PeerItem item;
    item.mutable_want()->set_engine(engine.str());
    SetName(item.mutable_want()->mutable_target(), target);
    item.mutable_want()->set_minimum_version(version);
    peers_.Send(owner->machine, std::move(item));
  }

  void TellAdapter(const MachineId& machine, const UpstreamId& engine,
                   const ModelRef& target, int64_t version,
                   AdapterPlace place) {
    if (machine == self_.machine) {
      OnAdapterState(engine, target, version, place);
      return;
    }
    schema::PeerItem item;
    item.mutable_state()->set_engine(engine.str());
    SetName(item.mutable_state()->mutable_target(), target);
    item.mutable_state()->set_version(version);
    item.mutable_state()->set_place(ToWire(place));
    peers_.Send(machine, std::move(item));
  }

  void OnAdapterState(const UpstreamId& engine, const ModelRef& target,
                      int64_t version, AdapterPlace place) {
    if (place == AdapterPlace::kEvicted) {
      state_.residency.OnGone(engine, target);
      return;
    }
    if (place == AdapterPlace::kReady) {
      state_.residency.OnReady(engine, target, version);
    }
    std::vector<std::shared_ptr<RequestRun>> runs;
    for (const auto& [connection, run] : active_) {
      runs.push_back(run);
    }
    for (const auto& run : runs) {
      if (place == AdapterPlace::kReady) {
        run->OnAdapterReady(engine, target);
      } else {
        run->OnEngineFull(engine, target);
      }
    }
  }

  void TellMissing(const UpstreamId& engine, const ModelRef& target) {
    const OwnerRecord* owner = ownership_.OwnerOf(EngineDuty(engine));
    if (owner == nullptr) {
      return;
    }
    if (owner->machine == self_.machine) {
      orders_.OnMissing(engine, target);
      return;
    }
    schema::PeerItem item;
    item.mutable_missing()->set_engine(engine.str());
    SetName(item.mutable_missing()->mutable_target(), target);
    peers_.Send(owner->machine, std::move(item));
  }

  void CountUse(const UpstreamId& engine, const ModelRef& target, int change) {
    auto key = std::make_pair(engine, target);
    int count = uses_[key] += change;
    const OwnerRecord* owner = ownership_.OwnerOf(EngineDuty(engine));
    if (owner != nullptr && owner->machine == self_.machine) {
      orders_.OnUse(self_.machine, engine, target,
                    static_cast<uint32_t>(std::max(0, count)));
    } else {
      changed_uses_.insert(key);
      if (change > 0) {
        TellUses();  // Before the owner takes the adapter for idle.
      }
      if (!use_timer_.pending()) {
        use_timer_.Start(kUsePeriod, [this] { TellUses(); });
      }
    }
    if (count <= 0) {
      uses_.erase(key);
    }
  }

  void TellUses() {
    for (const auto& key : changed_uses_) {
      const OwnerRecord* owner = ownership_.OwnerOf(EngineDuty(key.first));
      if (owner == nullptr) {
        continue;
      }
      auto it = uses_.find(key);
      int count = it == uses_.end() ? 0 : it->second;
      schema::PeerItem item;
      item.mutable_use()->set_engine(key.first.str());
      SetName(item.mutable_use()->mutable_target(), key.second);
      item.mutable_use()->set_running(
          static_cast<uint32_t>(std::max(0, count)));
      peers_.Send(owner->machine, std::move(item));
    }
    changed_uses_.clear();
  }

  // Long runs: an owner forgets a use that is not told again.
  void TellUsesAgain() {
    for (const auto& [key, count] : uses_) {
      const OwnerRecord* owner = ownership_.OwnerOf(EngineDuty(key.first));
      if (owner != nullptr && owner->machine == self_.machine) {
        orders_.OnUse(self_.machine, key.first, key.second,
                      static_cast<uint32_t>(std::max(0, count)));
      } else {
        changed_uses_.insert(key);
      }
    }
    TellUses();
    use_again_timer_.Start(kUseAgainPeriod, [this] { TellUsesAgain(); });
  }

  // ---- Load of engines.

  void OnLoadChanged(const UpstreamId& upstream) {
    if (SpecOf(upstream) == nullptr) {
      return;
    }
    changed_loads_.insert(upstream);
    if (!load_timer_.pending()) {
      load_timer_.Start(LoadPeriod(), [this] { TellLoads(); });
    }
  }

  // Rarer with more instances, so that what each hears stays bounded.
  Millis LoadPeriod() const {
    int64_t times = static_cast<int64_t>(
        1 + state_.instances * state_.instances / kLoadInstancesSquared);
    return kLoadPeriod * times;
  }

  void TellLoads() {
    for (const UpstreamId& id : changed_loads_) {
      const UpstreamState* it = state_.upstreams.Find(id);
      if (it == nullptr) {
        continue;
      }
      schema::PeerItem item;
      item.mutable_load()->set_engine(id.str());
      item.mutable_load()->set_in_flight(it->in_flight);
      item.mutable_load()->set_tokens_unread(it->tokens_unread);
      TellAll(item);
    }
    changed_loads_.clear();
  }

  // ---- Peers.

  void OnPeerItem(const MachineId& from, const schema::PeerItem& item) {
    rates_.OnHeard(from);
    switch (item.body_case()) {
      case schema::PeerItem::kWant:
        orders_.OnWant(from, UpstreamId(item.want().engine()),
                       RefOf(item.want().target()),
                       item.want().minimum_version());
        break;
      case schema::PeerItem::kState:
        OnAdapterState(UpstreamId(item.state().engine()),
                       RefOf(item.state().target()), item.state().version(),
                       FromWire(item.state().place()));
        break;
      case schema::PeerItem::kUse:
        orders_.OnUse(from, UpstreamId(item.use().engine()),
                      RefOf(item.use().target()), item.use().running());
        break;
      case schema::PeerItem::kMissing:
        orders_.OnMissing(UpstreamId(item.missing().engine()),
                          RefOf(item.missing().target()));
        break;
      case schema::PeerItem::kRateQuestion:
        rates_.OnQuestion(from, item.rate_question());
        break;
      case schema::PeerItem::kRateAnswer:
        rates_.OnAnswer(item.rate_answer());
        break;
      case schema::PeerItem::kLoad:
        state_.upstreams.OnPeerLoad(
            UpstreamId(item.load().engine()), from,
            {item.load().in_flight(), item.load().tokens_unread(),
             EventLoop::Now()});
        break;
      case schema::PeerItem::kAlive:
        break;  // Hearing the sender was its purpose.
      case schema::PeerItem::kCrash:
        OnCrash(
            item.crash().fingerprint(),
            {UpstreamId(item.crash().upstream()), item.crash().started_ms()},
            false);
        break;
      case schema::PeerItem::kQuestion:
        AnswerFreshness(from, item.question().nonce());
        break;
      case schema::PeerItem::kAnswer:
        OnFreshnessAnswer(from, item.answer());
        break;
      case schema::PeerItem::BODY_NOT_SET:
        LogWarning("peer", "An item from {} has no known body.", from.str());
        break;
    }
  }

  void TellAll(const schema::PeerItem& item) {
    for (const auto& [machine, member] : peers_.peers()) {
      peers_.Send(machine, item);
    }
  }

  void OnCrash(uint64_t fingerprint, const CrashId& crash, bool tell) {
    state_.crashes.OnCrash(fingerprint, crash, EventLoop::Now());
    LogInfo("crash", "Request fingerprint={:016x} ran when upstream={} ended.",
            fingerprint, crash.upstream.str());
    if (!tell) {
      return;
    }
    schema::PeerItem item;
    item.mutable_crash()->set_fingerprint(fingerprint);
    item.mutable_crash()->set_upstream(crash.upstream.str());
    item.mutable_crash()->set_started_ms(crash.started_ms);
    TellAll(item);
  }

  // ---- Freshness from peers.

  void WatchFreshness() {
    Millis now = EventLoop::Now();
    Millis age = state_.freshness.Age(now);
    if (!state_.freshness.ever_confirmed() || age > ask_peers_age_) {
      AskPeers(now);
      fresh_timer_.Start(kAskPeersPeriod, [this] { WatchFreshness(); });
      return;
    }
    fresh_timer_.Start(std::max(kAskPeersPeriod, ask_peers_age_ - age),
                       [this] { WatchFreshness(); });
  }

  void AskPeers(Millis now) {
    ++question_;
    question_sent_ = now;
    schema::PeerItem item;
    item.mutable_question()->set_nonce(question_);
    size_t n = peers_.peers().size();
    size_t skip = n == 0 ? 0 : (question_ * kPeersAsked) % n;
    size_t i = 0;
    for (const auto& [machine, member] : peers_.peers()) {
      if ((i++ + n - skip) % n < kPeersAsked) {
        peers_.Send(machine, item);
      }
    }
  }

  void AnswerFreshness(const MachineId& to, uint64_t nonce) {
    if (!state_.freshness.ever_confirmed() || state_.config == nullptr) {
      return;
    }
    schema::PeerItem item;
    auto* answer = item.mutable_answer();
    answer->set_nonce(nonce);
    answer->set_age_ms(state_.freshness.Age(EventLoop::Now()).count());
    answer->set_config_revision(config_revision_);
    answer->set_store_revision(sync_.revision());
    peers_.Send(to, std::move(item));
  }

  void OnFreshnessAnswer(const MachineId& from,
                         const schema::FreshnessAnswer& answer) {
    if (answer.nonce() != question_) {
      return;  // To an earlier question: its age can't be told.
    }
    Millis now = EventLoop::Now();
    if (answer.config_revision() == config_revision_ &&
        state_.config != nullptr) {
      state_.freshness.OnConfirmed(question_sent_ - Millis(answer.age_ms()));
    }
    bool newer =
        answer.config_revision() > config_revision_ ||
        answer.store_revision() > std::max(sync_.revision(), peer_revision_);
    if (newer && now >= next_fetch_) {
      next_fetch_ = now + kStateFetchPeriod;
      FetchState(from);
    }
  }

  void FetchState(const MachineId& from) {
    auto it = peers_.peers().find(from);
    if (it == peers_.peers().end()) {
      return;
    }
    HttpCall call;
    call.address = it->second.address;
    call.target = kStatePath;
    call.deadlines.connect = kStateFetchDeadline;
    call.deadlines.first_byte = kStateFetchDeadline;
    call.deadlines.whole = kStateFetchDeadline * 2;
    call.on_done = [this, sent = EventLoop::Now()](const CallOutcome& outcome) {
      schema::KnownState known;
      bool ok = outcome.result == CallResult::kComplete &&
                outcome.status == kOk && known.ParseFromString(outcome.body);
      if (ok) {
        OnPeerState(known, sent);
      }
    };
    ports_.client->Start(std::move(call));
  }

  void OnPeerState(const schema::KnownState& known, Millis sent) {
    if (!sync_.away() && sync_.ever_synced()) {
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
        OnItem(item, true);
      }
    }
    peer_revision_ = std::max(peer_revision_, known.store_revision());
    if (known.config_revision() == config_revision_) {
      state_.freshness.OnConfirmed(sent - Millis(known.age_ms()));
    }
  }

  HttpResponse OnPeerRequest(const HttpRequest& request) {
    HttpResponse response;
    if (request.path != kStatePath || state_.config == nullptr) {
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
    known.set_store_revision(std::max(sync_.revision(), peer_revision_));
    known.set_config_revision(config_revision_);
    known.set_age_ms(state_.freshness.Age(EventLoop::Now()).count());
    response.body = known.SerializeAsString();
    return response;
  }

  // ---- Readiness, metrics and stop.

  bool Ready() const {
    return !state_.stopping && state_.config != nullptr &&
           state_.freshness.MayServe(EventLoop::Now());
  }

  HttpResponse OnReadyRequest(const HttpRequest& request) {
    HttpResponse response;
    if (request.path == "/metrics") {
      response.headers.Add("Content-Type", "text/plain; version=0.0.4");
      response.body = Metrics();
      return response;
    }
    response.status = Ready() ? kOk : kUnavailable;
    return response;
  }

  std::string Metrics() const {
    const RequestCounters& it = state_.counters;
    std::string text;
    auto add = [&text](const char* name, uint64_t value) {
      text += fmt::format("bilberrypitch_{} {}\n", name, value);
    };
    add("requests_received_total", it.received);
    add("requests_answered_total", it.answered);
    add("requests_refused_total", it.refused);
    add("requests_failed_total", it.failed);
    add("requests_caller_left_total", it.caller_left);
    add("requests_rate_limited_total", it.rate_limited);
    add("request_repeats_total", it.repeats);
    add("adapter_waits_total", it.adapter_waits);
    add("adapter_misses_total", it.adapter_misses);
    add("orders_total", orders_.orders());
    add("reports_total", orders_.reports());
    add("upstream_connections_total", ports_.client->connections_made());
    add("requests_open", active_.size());
    add("log_lines_dropped_total", DroppedLogLines());
    return text;
  }

  void CheckStop() {
    Millis spent = EventLoop::Now() - stop_begun_;
    Millis grace = state_.settings.bounds.stop - kStopMargin;
    bool done = spent >= kNoticedByBalancer && active_.empty();
    if (!done && spent < grace) {
      stop_timer_.Start(kStopCheck, [this] { CheckStop(); });
      return;
    }
    LogInfo("gateway", "Stopped after {} ms with {} open requests.",
            spent.count(), active_.size());
    std::vector<std::shared_ptr<RequestRun>> open;
    for (const auto& [connection, run] : active_) {
      open.push_back(run);
    }
    for (const auto& run : open) {
      run->OnStop();
    }
    stop_timer_.Start(kFlushTime, [this] { stop_done_(); });
  }

  const GatewayPorts ports_;
  EventLoop* const loop_;
  const ClusterMember self_;
  ServingState state_;
  Ownership ownership_;
  LeaseKeeper lease_;
  StoreSync sync_;
  const Millis ask_peers_age_;
  PeerLink peers_;
  OrderService orders_;
  RateService rates_;
  CrashSuspicions suspicions_;
  RequestDeps deps_;
  // By connection; one may carry several requests.
  std::unordered_multimap<uint64_t, std::shared_ptr<RequestRun>> active_;
  // What others wrote into the store, for peers that can't reach it.
  std::map<std::string, StoreItem> known_;
  std::map<UpstreamId, std::string> upstream_keys_;
  int64_t config_revision_ = 0;  // Newest revision of the configuration seen.
  int64_t peer_revision_ = 0;    // Up to which a peer's state was taken.
  uint64_t question_ = 0;        // Nonce of the last question to peers.
  Millis question_sent_;
  Millis next_fetch_;
  std::map<std::pair<UpstreamId, ModelRef>, int> uses_;
  std::set<std::pair<UpstreamId, ModelRef>> changed_uses_;
  std::set<UpstreamId> changed_loads_;
  Timer claim_timer_;
  Timer expire_timer_;
  Timer use_timer_;
  Timer use_again_timer_;
  Timer load_timer_;
  Timer fresh_timer_;
  Timer stop_timer_;
  std::unique_ptr<Timer> register_timer_;
  Millis stop_begun_;
  std::function<void()> stop_done_;
  std::unique_ptr<HttpServer> callers_;
  std::unique_ptr<HttpServer> ready_;
  std::unique_ptr<HttpServer> peer_server_;
};

Gateway::Gateway(const InstanceSettings& settings, GatewayPorts ports)
    : impl_(std::make_unique<Impl>(settings, std::move(ports))) {}

Gateway::~Gateway() = default;

void Gateway::Stop(std::function<void()> done) { impl_->Stop(std::move(done)); }

}  // namespace bilberrypitch
