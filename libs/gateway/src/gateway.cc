// Wires listeners, store, peers, orders and requests of one instance.
#include "gateway/gateway.h"

#include <algorithm>
#include <set>

#include "base/hash.h"
#include "base/log.h"
#include "gateway/adapter_service.h"
#include "gateway/caller_frontend.h"
#include "gateway/crash_service.h"
#include "gateway/freshness_service.h"
#include "gateway/load_broadcaster.h"
#include "gateway/membership.h"
#include "gateway/metrics_page.h"
#include "gateway/order_service.h"
#include "gateway/peer_messenger.h"
#include "gateway/prefill_service.h"
#include "gateway/rate_limit_service.h"
#include "gateway/request_handler.h"
#include "gateway/serving_state.h"
#include "gateway/store_sync.h"
#include "schema/cluster.pb.h"
#include "serving/api_codec.h"
#include "serving/cluster_store.h"
#include "transport/address.h"
#include "transport/event_loop.h"
#include "transport/event_loop_http_client.h"
#include "transport/http_server.h"

namespace bilberrypitch {
namespace {

// Long enough that owners go on through a short outage of the store, short
// enough that a dead owner's engines get another one.
constexpr Millis kLeaseTime{6000};
// Knowledge of this age is refreshed from peers,
constexpr Millis kAskPeersAge{2400};
// at the latest at this part of the withdrawal bound.
constexpr int64_t kAskPeersParts = 2;
constexpr int kOk = 200;
constexpr int kUnavailable = 503;

}  // namespace

class Gateway::Impl {
 public:
  Impl(const InstanceSettings& settings, GatewayDeps ports)
      : ports_(std::move(ports)),
        loop_(ports_.loop),
        self_{settings.machine, BootId(RandomHex(8)), settings.zone,
              settings.peer_address},
        state_(settings, BookHooks()),
        sync_(loop_, ports_.store, SyncIntervalsFor(settings.bounds),
              SyncHooks()),
        peers_(loop_, self_,
               [this](const MachineId& from, const schema::PeerItem& item) {
                 OnPeerItem(from, item);
               }),
        membership_(loop_, ports_.store, self_,
                    std::max(kLeaseTime, settings.min_lease_ttl),
                    settings.bounds.takeover_delay, &peers_, MembershipHooks()),
        orders_(loop_, self_.machine, membership_.ownership(),
                membership_.lease(), &state_.upstreams, ports_.engines,
                OrderHooks()),
        adapters_(loop_, self_.machine, membership_.ownership(), &orders_,
                  &peers_,
                  [this](const UpstreamId& engine, const ModelRef& target,
                         int64_t version, AdapterStatus place) {
                    OnAdapterState(engine, target, version, place);
                  }),
        loads_(loop_, &state_.upstreams, &peers_),
        rates_(loop_, self_.machine, RateMarginOf(settings.bounds),
               membership_.ownership(), membership_.lease(), &peers_),
        reading_(loop_, self_.machine, membership_.ownership(),
                 &state_.upstreams, &peers_, ReadingHooks()),
        crashes_(&state_.crash_tracker, &peers_),
        callers_(loop_, &state_),
        expire_timer_(loop_) {
    fresh_ = std::make_unique<FreshnessService>(
        loop_, ports_.client, &peers_, &sync_, &state_.freshness,
        AskPeersAge(settings.bounds),
        [this](const StoreItem& item) { OnItem(item, true); });
    SetRequestDeps();
    Listen();
    sync_.Start();
    membership_.Start();
    LogInfo("gateway", "Started machine={} zone={} boot={}.",
            self_.machine.str(), self_.zone.str(), self_.boot.str());
  }

  ~Impl() {
    ready_->Stop();
    peer_server_->Stop();
  }

  void Stop(std::function<void()> done) {
    if (state_.stopping) {
      return;
    }
    state_.stopping = true;
    membership_.StopClaiming();
    callers_.StartShutdown(std::move(done));
  }

 private:
  // ---- Construction.

  UpstreamRegistry::Hooks BookHooks() {
    UpstreamRegistry::Hooks hooks;
    hooks.on_started = [this](const UpstreamState& it) { OnStarted(it); };
    hooks.on_unavailable = [this](const UpstreamId& it) { OnLeft(it); };
    hooks.on_local_load_changed = [this](const UpstreamId& it) {
      if (SpecOf(it) != nullptr) {
        loads_.OnLoadChanged(it);
      }
    };
    return hooks;
  }

  Membership::Hooks MembershipHooks() {
    Membership::Hooks hooks;
    hooks.on_ownership_changed = [this](const ResourceId& duty) {
      OnDuty(duty);
    };
    hooks.on_members_changed = [this] {
      state_.instance_count = peers_.peers().size() + 1;
      rates_.OnMembersChanged();
    };
    hooks.on_member_removed = [this](const MachineId& machine) {
      orders_.OnMachineRemoved(machine);
      reading_.OnMachineRemoved(machine);
    };
    return hooks;
  }

  StoreSync::Hooks SyncHooks() {
    StoreSync::Hooks hooks;
    hooks.on_item = [this](const StoreItem& item, bool settling) {
      OnItem(item, settling);
    };
    hooks.on_full_read_started = [this] { membership_.OnFullReadStarted(); };
    hooks.on_full_read_completed = [this](const std::vector<StoreItem>& all,
                                          bool settling) {
      OnListed(all, settling);
    };
    hooks.on_confirmed = [this](Millis at) {
      state_.freshness.OnConfirmed(at);
    };
    return hooks;
  }

  OrderService::Hooks OrderHooks() {
    OrderService::Hooks hooks;
    hooks.notify_status =
        [this](const MachineId& machine, const UpstreamId& engine,
               const ModelRef& target, int64_t version, AdapterStatus place) {
          adapters_.SendStatus(machine, engine, target, version, place);
        };
    hooks.engine_profile = [this](const UpstreamId& engine) {
      return SpecOf(engine);
    };
    hooks.required_version = [this](const ModelRef& target) {
      auto it = state_.required_versions.find(target);
      return it == state_.required_versions.end() ? int64_t{0} : it->second;
    };
    return hooks;
  }

  PrefillService::Hooks ReadingHooks() {
    PrefillService::Hooks hooks;
    hooks.max_event_gap = [this](const UpstreamId& engine) {
      UpstreamState* it = state_.upstreams.Find(engine);
      bool known = it != nullptr && state_.config != nullptr;
      return known ? state_.config->MaxEventGapOf(it->entry.service)
                   : Millis(0);
    };
    return hooks;
  }

  // The two edges differ in their codec only.
  void SetRequestDeps() {
    deps_.loop = loop_;
    deps_.client = ports_.client;
    deps_.codec = ports_.codec;
    deps_.state = &state_;
    deps_.hooks.request_load = [this](const UpstreamId& engine,
                                      const ModelRef& target, int64_t version,
                                      bool insists) {
      adapters_.RequestLoad(engine, target, version, insists);
    };
    deps_.hooks.adapter_wait_changed =
        [this](const UpstreamId& engine, const ModelRef& target, int change) {
          adapters_.UpdateWaitCount(engine, target, change);
        };
    deps_.hooks.adapter_missing = [this](const UpstreamId& engine,
                                         const ModelRef& target) {
      adapters_.ReportMissing(engine, target);
    };
    deps_.hooks.adapter_use_changed =
        [this](const UpstreamId& engine, const ModelRef& target, int change) {
          adapters_.UpdateUseCount(engine, target, change);
        };
    deps_.hooks.connection_broken =
        [this](uint64_t fingerprint, const UpstreamId& id, int64_t started_ms) {
          crashes_.OnConnectionBroken(fingerprint, {id, started_ms});
        };
    deps_.hooks.upstream_unreachable = [this](const UpstreamId& id) {
      crashes_.OnUpstreamDown(id);
    };
    deps_.hooks.acquire_rate_tokens =
        [this](const WorkspaceId& workspace, double cost,
               std::function<void(RateDecision)> done) {
          rates_.Acquire(workspace, cost, std::move(done));
        };
    deps_.hooks.request_prefill = [this](const UpstreamId& engine,
                                         int64_t tokens, int urgency,
                                         std::function<void()> granted) {
      return reading_.RequestPrefill(engine, tokens, urgency,
                                     std::move(granted));
    };
    deps_.hooks.renew_prefill_request = [this](uint64_t number) {
      reading_.RenewRequest(number);
    };
    deps_.hooks.prefill_owner_responded = [this](uint64_t number) {
      return reading_.OwnerResponded(number);
    };
    deps_.hooks.release_prefill = [this](uint64_t number, bool read) {
      reading_.Done(number, read);
    };
    deps_.hooks.request_ended = [this](uint64_t connection) {
      callers_.OnRequestEnded(connection);
    };
    completions_deps_ = deps_;
    completions_deps_.codec = ports_.completions_codec;
  }

  static Millis AskPeersAge(const ClusterBounds& bounds) {
    return std::min(kAskPeersAge,
                    Millis(bounds.key_revocation.count() / kAskPeersParts));
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
    callers_.Listen(state_.settings.caller_address, &deps_);
    if (ports_.completions_codec != nullptr) {
      callers_.Listen(ports_.completions_address, &completions_deps_);
    }
    ready_ = std::make_unique<HttpServer>(
        OptionsFor(state_.settings.ready_address),
        [this](HttpRequest request, std::shared_ptr<Responder> responder) {
          responder->Send(OnReadyRequest(request));
        });
    peer_server_ = std::make_unique<HttpServer>(
        OptionsFor(state_.settings.peer_address),
        [this](HttpRequest request, std::shared_ptr<Responder> responder) {
          responder->Send(fresh_->OnStateRequest(request));
        });
  }

  // ---- What the store says.

  void OnItem(const StoreItem& item, bool settling) {
    StoreRecord record = ports_.decode_record(item);
    Millis now = EventLoop::Now();
    if (auto* config = std::get_if<ConfigRecord>(&record)) {
      fresh_->CacheItem(item);
      OnConfig(std::move(config->config), item.revision);
    } else if (auto* upstream = std::get_if<UpstreamRecord>(&record)) {
      fresh_->CacheItem(item);
      upstream_keys_[upstream->id] = item.key;
      OnUpstream(*upstream, now, settling);
    } else if (auto* version = std::get_if<AdapterVersionRecord>(&record)) {
      fresh_->CacheItem(item);
      OnVersion(*version);
    } else if (auto* bad = std::get_if<MalformedRecord>(&record)) {
      LogWarning("store", "Skipped a record that can't be read: {}.",
                 bad->reason);
    } else {
      membership_.OnStoreItem(item);
    }
  }

  void OnConfig(ServingConfig config, int64_t revision) {
    fresh_->OnConfigRevision(revision);
    if (state_.config != nullptr &&
        config.version <= state_.config->version()) {
      return;  // An older one never comes into force again.
    }
    LogInfo("config", "Version {} in force, revision={}, routes={}.",
            config.version, revision, config.routes.size());
    state_.config = std::make_shared<const ActiveConfig>(std::move(config));
    const CallerLimits& limits = state_.config->config().limits;
    callers_.SetLimits(limits);
    ApplyRates();
    for (const ResourceId& duty : membership_.ownership()->Resources()) {
      OnDuty(duty);
    }
    for (const auto& [id, it] : state_.upstreams.all()) {
      NoteEngine(*it);
    }
  }

  void ApplyRates() {
    rates_.SetWorkspaces(state_.config->config().workspaces);
    for (const Workspace& it : state_.config->config().workspaces) {
      if (it.rate_per_s > 0) {
        membership_.AddResource(RateResource(it.id), ZoneId());
      }
    }
  }

  static RateTolerance RateMarginOf(const ClusterBounds& bounds) {
    return {bounds.rate_excess_ratio, bounds.rate_extra_tokens,
            bounds.rate_window.seconds()};
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
    if (!it.removed && SpecOf(it.entry.id) != nullptr) {
      membership_.AddResource(EngineResource(it.entry.id), it.entry.zone);
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
    crashes_.OnUpstreamDown(it.entry.id);
    state_.residency.OnEngineReset(it.entry.id);
    orders_.OnEngineStarted(it.entry.id);
    reading_.OnEngineLeft(it.entry.id);
  }

  void OnLeft(const UpstreamId& id) {
    UpstreamState* it = state_.upstreams.Find(id);
    bool drains = it != nullptr && it->entry.draining && !it->removed;
    LogInfo("upstream", "Leaves id={} draining={}.", id.str(), drains);
    if (!drains) {
      crashes_.OnUpstreamDown(id);
      membership_.RemoveResource(EngineResource(id));
    }
    orders_.OnEngineLeft(id);
    reading_.OnEngineLeft(id);
    state_.residency.OnEngineReset(id);
  }

  void OnVersion(const AdapterVersionRecord& record) {
    int64_t& named = state_.required_versions[record.adapter];
    if (record.version <= named) {
      return;
    }
    named = record.version;
    LogInfo("version", "Adapter {} is to be used in version {}.",
            ToString(record.adapter), record.version);
    orders_.OnRequiredVersion(record.adapter, record.version);
  }

  void OnDuty(const ResourceId& duty) {
    if (UpstreamId engine = EngineOf(duty); !engine.empty()) {
      orders_.OnOwnershipChanged(engine);
    }
    if (WorkspaceId workspace = WorkspaceOf(duty); !workspace.empty()) {
      rates_.OnOwnershipChanged(workspace);
    }
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
    state_.upstreams.OnFullRead(upstreams, now, settling);
    std::erase_if(upstream_keys_, [&](const auto& it) {
      bool gone = keys.count(it.second) == 0;
      if (gone) {
        fresh_->RemoveCachedItem(it.second);
      }
      return gone;
    });
    membership_.OnFullReadCompleted(keys);
    ScheduleExpiry();
  }

  void ScheduleExpiry() {
    Millis now = EventLoop::Now();
    Millis due = state_.upstreams.ExpireMissing(now);
    if (due != Millis(0)) {
      expire_timer_.Start(std::max(Millis(1), due - now),
                          [this] { ScheduleExpiry(); });
    }
  }

  // ---- Adapters.

  void OnAdapterState(const UpstreamId& engine, const ModelRef& target,
                      int64_t version, AdapterStatus place) {
    if (place == AdapterStatus::kEvicted) {
      state_.residency.OnRemoved(engine, target);
      return;
    }
    if (place == AdapterStatus::kReady) {
      state_.residency.OnReady(engine, target, version);
    }
    for (const auto& run : callers_.open_requests()) {
      if (place == AdapterStatus::kReady) {
        run->OnAdapterReady(engine, target);
      } else if (place == AdapterStatus::kLoading) {
        run->OnAdapterLoading(engine, target);
      } else {
        run->OnEngineFull(engine, target);
      }
    }
  }

  // ---- Peers.

  void OnPeerItem(const MachineId& from, const schema::PeerItem& item) {
    rates_.OnMessageFrom(from);
    switch (item.body_case()) {
      case schema::PeerItem::kWant:
        adapters_.OnLoadRequest(from, item.want());
        break;
      case schema::PeerItem::kState:
        adapters_.OnAdapterStatus(item.state());
        break;
      case schema::PeerItem::kUse:
        adapters_.OnUsage(from, item.use());
        break;
      case schema::PeerItem::kMissing:
        adapters_.OnAdapterMissing(item.missing());
        break;
      case schema::PeerItem::kRateQuestion:
        rates_.OnRequest(from, item.rate_question());
        break;
      case schema::PeerItem::kRateAnswer:
        rates_.OnResponse(item.rate_answer());
        break;
      case schema::PeerItem::kLoad:
        state_.upstreams.OnPeerLoad(
            UpstreamId(item.load().engine()), from,
            {item.load().in_flight(), item.load().tokens_unread(),
             EventLoop::Now()});
        break;
      case schema::PeerItem::kReadingQuestion:
        reading_.OnRequest(from, item.reading_question());
        break;
      case schema::PeerItem::kReadingAnswer:
        reading_.OnResponse(item.reading_answer());
        break;
      case schema::PeerItem::kReadingDone:
        reading_.OnRelease(from, item.reading_done());
        break;
      case schema::PeerItem::kAlive:
        break;  // Hearing the sender was its purpose.
      case schema::PeerItem::kCrash:
        crashes_.OnCrashNotice(item.crash());
        break;
      case schema::PeerItem::kQuestion:
        fresh_->OnQuery(item.question());
        break;
      case schema::PeerItem::kAnswer:
        fresh_->OnQueryResponse(from, item.answer());
        break;
      case schema::PeerItem::BODY_NOT_SET:
        LogWarning("peer", "An item from {} has no known body.", from.str());
        break;
    }
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
      response.body = FormatMetrics(state_, Facts());
      return response;
    }
    response.status = Ready() ? kOk : kUnavailable;
    return response;
  }

  InstanceMetrics Facts() const {
    InstanceMetrics facts;
    facts.orders = orders_.order_count();
    facts.reports = orders_.report_count();
    facts.upstream_connections = ports_.client->connections_opened();
    facts.open_requests = callers_.open_requests().size();
    facts.peers = peers_.peers().size();
    facts.knowledge_age_ms = state_.freshness.Age(EventLoop::Now()).count();
    return facts;
  }

  const GatewayDeps ports_;
  EventLoop* const loop_;
  const ClusterMember self_;
  ServingState state_;
  StoreSync sync_;
  PeerMessenger peers_;
  Membership membership_;
  OrderService orders_;
  AdapterService adapters_;
  LoadBroadcaster loads_;
  RateLimitService rates_;
  PrefillService reading_;
  CrashService crashes_;
  std::unique_ptr<FreshnessService> fresh_;
  RequestDeps deps_;
  RequestDeps completions_deps_;
  CallerFrontend callers_;
  std::map<UpstreamId, std::string> upstream_keys_;
  Timer expire_timer_;
  std::unique_ptr<HttpServer> ready_;
  std::unique_ptr<HttpServer> peer_server_;
};

Gateway::Gateway(const InstanceSettings& settings, GatewayDeps ports)
    : impl_(std::make_unique<Impl>(settings, std::move(ports))) {}

Gateway::~Gateway() = default;

void Gateway::Stop(std::function<void()> done) { impl_->Stop(std::move(done)); }

}  // namespace bilberrypitch
