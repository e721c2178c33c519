// Connects the listeners, store, peers, orders and requests of an instance.
#include "gateway/gateway.h"

#include <algorithm>

#include "base/hash.h"
#include "base/log.h"
#include "gateway/adapter_service.h"
#include "gateway/caller_frontend.h"
#include "gateway/cold_service.h"
#include "gateway/crash_service.h"
#include "gateway/freshness_service.h"
#include "gateway/kept_config_service.h"
#include "gateway/load_broadcaster.h"
#include "gateway/membership.h"
#include "gateway/metrics_page.h"
#include "gateway/order_service.h"
#include "gateway/part_crash_service.h"
#include "gateway/path_service.h"
#include "gateway/peer_dispatcher.h"
#include "gateway/peer_messenger.h"
#include "gateway/permit_service.h"
#include "gateway/prefill_service.h"
#include "gateway/rate_limit_service.h"
#include "gateway/reader_client.h"
#include "gateway/reader_service.h"
#include "gateway/record_applier.h"
#include "gateway/relay_target.h"
#include "gateway/request_handler.h"
#include "gateway/request_hooks.h"
#include "gateway/route_service.h"
#include "gateway/serving_state.h"
#include "gateway/store_sync.h"
#include "gateway/stream_service.h"
#include "schema/cluster.pb.h"
#include "serving/active_config.h"
#include "serving/api_codec.h"
#include "serving/cluster_store.h"
#include "transport/address.h"
#include "transport/connection_guard.h"
#include "transport/event_loop.h"
#include "transport/event_loop_http_client.h"
#include "transport/http_server.h"
#include "transport/response_budget.h"

namespace bilberrypitch {
namespace {

// Long enough that owners keep their engines while the store is unavailable for
// a short time, short enough that the engines of a dead owner soon get a new
// one.
constexpr Millis kLeaseTtl{6000};
// Peers are queried when the view of the store reaches this age, or half of the
// key revocation bound if that is less.
constexpr Millis kPeerQueryAge{2400};
constexpr int64_t kPeerQueryAgeDivisor = 2;
constexpr size_t kMaxPeerBodyBytes = 64 << 20;
constexpr size_t kMaxPeerHeaderBytes = 128 << 10;
constexpr int kOkStatus = 200;
constexpr int kServiceUnavailableStatus = 503;

}  // namespace

class Gateway::Impl {
 public:
  Impl(const InstanceSettings& settings, GatewayDeps deps)
      : gateway_deps_(std::move(deps)),
        loop_(gateway_deps_.loop),
        self_{settings.machine, BootId(RandomHex(8)), settings.zone,
              settings.peer_address, settings.cpu_share},
        state_(settings, RegistryHooks()),
        store_sync_(loop_, gateway_deps_.store, gateway_deps_.client, self_,
                    SyncIntervalsFor(settings.bounds), SyncHooks()),
        reader_service_(loop_, &store_sync_.view(), store_sync_.follower()),
        peers_(loop_, self_,
               [this](const MachineId& from, const schema::PeerItem& item) {
                 dispatcher_->OnItem(from, item);
               }),
        membership_(loop_, gateway_deps_.store, self_,
                    std::max(kLeaseTtl, settings.min_lease_ttl),
                    settings.bounds.takeover_delay, &peers_, MembershipHooks()),
        orders_(loop_, self_.machine, membership_.ownership(),
                membership_.lease_manager(), &state_.upstreams,
                gateway_deps_.engines, OrderHooks()),
        adapters_(loop_, self_.machine, membership_.ownership(), &orders_,
                  &peers_, AdapterHooks()),
        load_broadcaster_(loop_, settings.zone, &state_.upstreams, &peers_),
        rate_limits_(loop_, self_.machine, RateToleranceOf(settings.bounds),
                     membership_.ownership(), membership_.lease_manager(),
                     &peers_),
        prefills_(loop_, self_.machine, membership_.ownership(),
                  &state_.upstreams, &peers_, PrefillHooks()),
        crashes_(&state_.crash_tracker, &peers_),
        part_crashes_(loop_, self_.machine, &state_.part_crash_tracker,
                      gateway_deps_.store, &peers_, EngineCheck()),
        permits_(loop_, self_.machine, &state_.upstreams, &peers_),
        streams_(loop_, gateway_deps_.store, &peers_, self_, settings.bootstrap,
                 StreamHooks()),
        paths_(loop_, self_, &state_.upstreams, &peers_,
               [this] { OnPathLost(); }),
        guard_(std::make_shared<ConnectionGuard>(
            loop_,
            BodyBudgetLimitsFor(settings.memory_mb, settings.max_descriptors))),
        callers_(loop_, &state_, guard_),
        routes_(&state_, RouteHooks()),
        kept_config_(loop_, gateway_deps_.store, KeptConfigHooks()),
        cold_(loop_, &state_),
        records_(loop_, RecordDeps()) {
    freshness_service_ = std::make_unique<FreshnessService>(
        loop_, gateway_deps_.client, &peers_, &store_sync_, &state_.freshness,
        PeerQueryAge(settings.bounds));
    dispatcher_ = std::make_unique<PeerDispatcher>(DispatcherDeps());
    InitRequestDeps();
    gateway_deps_.engines->SetOnLeaving(
        [this](const UpstreamId& id, Millis sent_at) {
          OnLeavingResponse(id, sent_at);
        });
    gateway_deps_.client->SetResponseBudget(
        ResponseBudgetFor(settings.memory_mb));
    gateway_deps_.client->SetOnUnsolicitedBytes(
        [this](const std::string& address) {
          state_.upstreams.OnUnsolicitedBytes(address, EventLoop::Now());
        });
    Listen();
    store_sync_.Start();
    membership_.Start();
    LogInfo("gateway", "Started machine={} zone={} boot={}.",
            self_.machine.str(), self_.zone.str(), self_.boot.str());
  }

  ~Impl() {
    gateway_deps_.client->SetOnUnsolicitedBytes(nullptr);
    gateway_deps_.engines->SetOnLeaving(nullptr);
    reader_service_.Stop();
    ready_server_->Stop();
    peer_server_->Stop();
  }

  void Stop(std::function<void()> done) {
    if (state_.stopping) {
      return;
    }
    state_.stopping = true;
    membership_.StopClaiming();
    reader_service_.Stop();
    callers_.StartShutdown(std::move(done));
  }

 private:
  // Construction.

  UpstreamRegistry::Hooks RegistryHooks() {
    UpstreamRegistry::Hooks hooks;
    hooks.on_started = [this](const UpstreamState& upstream) {
      records_.OnUpstreamStarted(upstream);
    };
    hooks.on_unavailable = [this](const UpstreamId& id) {
      records_.OnUpstreamUnavailable(id);
    };
    hooks.on_local_load_changed = [this](const UpstreamId& id) {
      if (records_.EngineProfileOf(id) != nullptr) {
        load_broadcaster_.OnLoadChanged(id);
      }
    };
    return hooks;
  }

  Membership::Hooks MembershipHooks() {
    Membership::Hooks hooks;
    hooks.on_ownership_changed = [this](const ResourceId& resource) {
      records_.NotifyOwnershipChanged(resource);
    };
    hooks.on_members_changed = [this] {
      state_.instance_count = peers_.peers().size() + 1;
      rate_limits_.OnMembersChanged();
      permits_.OnMembersChanged();
    };
    hooks.on_member_set = [this](const ClusterMember& member) {
      store_sync_.follower()->OnMember(member);
      permits_.OnMemberSet(member.machine);
    };
    hooks.on_member_removed = [this](const MachineId& machine) {
      store_sync_.follower()->OnMemberRemoved(machine);
      orders_.OnMachineRemoved(machine);
      prefills_.OnMachineRemoved(machine);
    };
    return hooks;
  }

  StoreSync::Hooks SyncHooks() {
    StoreSync::Hooks hooks;
    hooks.on_item = [this](const StoreItem& item, Millis return_deadline) {
      return records_.Apply(item, return_deadline);
    };
    hooks.on_full_read_started = [this](bool is_new_era) {
      records_.OnFullReadStarted(is_new_era);
      starts_from_copy_ = is_new_era && state_.config == nullptr;
      streams_.OnEra(store_sync_.follower()->era());
      membership_.OnFullReadStarted();
    };
    hooks.on_full_read_completed = [this](const std::vector<StoreItem>& items,
                                          StoreRevision revision,
                                          Millis return_deadline) {
      records_.OnFullRead(items, revision, return_deadline);
      OnFullReadCompleted();
    };
    hooks.on_confirmed = [this](Millis at) {
      kept_config_.Update(store_sync_.follower()->revision());
      store_view_at_ = std::max(store_view_at_, at);
      state_.freshness.OnConfirmed(at);
      permits_.OnView(at, membership_.lease_manager()->ValidUntil());
      reader_service_.OnViewUpdated();
    };
    hooks.on_store_failure = [this] { reader_service_.OnStoreFailure(); };
    hooks.on_regained = [this] { return freshness_service_->AskForOutage(); };
    hooks.on_return_deadline = [this](Millis return_deadline) {
      records_.OnReturnDeadline(return_deadline);
    };
    hooks.address_of = [this](const MachineId& machine) {
      auto it = peers_.peers().find(machine);
      return it == peers_.peers().end() ? "" : it->second.address;
    };
    return hooks;
  }

  void OnFullReadCompleted() {
    bool may_lack_config = starts_from_copy_ && state_.config != nullptr &&
                           !kept_config_.IsAhead();
    if (may_lack_config) {
      LogWarning("config", "Starts with version={} of a copy of the store.",
                 state_.config->version());
      state_.freshness.OnStartedFromCopy(state_.config->version(),
                                         EventLoop::Now());
    }
  }

  AdapterService::Hooks AdapterHooks() {
    AdapterService::Hooks hooks;
    hooks.on_status = [this](const UpstreamId& engine, const ModelRef& target,
                             int64_t version, AdapterStatus status) {
      ApplyAdapterStatus(engine, target, version, status);
    };
    hooks.queued_tokens = [this](const UpstreamId& engine) {
      return prefills_.QueuedTokens(engine);
    };
    hooks.on_queued_tokens = [this](const UpstreamId& engine, int64_t tokens) {
      prefills_.OnQueuedTokens(engine, tokens);
    };
    return hooks;
  }

  // Of this instance, in an order on which all agree.
  size_t RankOfSelf() {
    const auto& members = membership_.ownership()->members();
    auto self = members.find(self_.machine);
    return static_cast<size_t>(std::distance(members.begin(), self));
  }

  StreamService::Hooks StreamHooks() {
    StreamService::Hooks hooks;
    hooks.rank = [this] { return RankOfSelf(); };
    // Other instances confirm the configuration, not the records of versions.
    hooks.view_age = [this] { return EventLoop::Now() - store_view_at_; };
    return hooks;
  }

  KeptConfigService::Hooks KeptConfigHooks() {
    KeptConfigService::Hooks hooks;
    hooks.rank = [this] { return RankOfSelf(); };
    hooks.publish = [this](const StoreItem& item) {
      store_sync_.Publish(item);
    };
    hooks.apply = [this](const StoreItem& item) {
      store_sync_.ApplyForeignItem(item);
    };
    return hooks;
  }

  RecordApplier::Deps RecordDeps() {
    RecordApplier::Deps deps;
    deps.state = &state_;
    deps.membership = &membership_;
    deps.orders = &orders_;
    deps.prefills = &prefills_;
    deps.crashes = &crashes_;
    deps.part_crashes = &part_crashes_;
    deps.rate_limits = &rate_limits_;
    deps.callers = &callers_;
    deps.kept_config = &kept_config_;
    deps.cold = &cold_;
    deps.streams = &streams_;
    deps.decode_record = gateway_deps_.decode_record;
    deps.on_config_revision = [this](StoreRevision revision) {
      freshness_service_->OnConfigRevision(revision);
    };
    deps.on_upstreams_unavailable = [this] {
      for (const auto& handler : callers_.open_requests()) {
        handler->OnUpstreamsUnavailable();
      }
    };
    return deps;
  }

  PeerDispatcher::Deps DispatcherDeps() {
    PeerDispatcher::Deps deps;
    deps.upstreams = &state_.upstreams;
    deps.adapters = &adapters_;
    deps.rate_limits = &rate_limits_;
    deps.prefills = &prefills_;
    deps.crashes = &crashes_;
    deps.part_crashes = &part_crashes_;
    deps.permits = &permits_;
    deps.streams = &streams_;
    deps.paths = &paths_;
    deps.freshness = freshness_service_.get();
    deps.loads = &load_broadcaster_;
    return deps;
  }

  OrderService::Hooks OrderHooks() {
    OrderService::Hooks hooks;
    hooks.notify_status =
        [this](const MachineId& machine, const UpstreamId& engine,
               const ModelRef& target, int64_t version, AdapterStatus status) {
          adapters_.SendStatus(machine, engine, target, version, status);
        };
    hooks.engine_profile = [this](const UpstreamId& engine) {
      return records_.EngineProfileOf(engine);
    };
    hooks.required_version = [this](const ModelRef& target) {
      auto it = state_.required_versions.find(target);
      return it == state_.required_versions.end() ? int64_t{0} : it->second;
    };
    return hooks;
  }

  PrefillService::Hooks PrefillHooks() {
    PrefillService::Hooks hooks;
    hooks.max_event_gap = [this](const UpstreamId& engine) {
      UpstreamState* upstream = state_.upstreams.Find(engine);
      bool known = upstream != nullptr && state_.config != nullptr;
      return known ? state_.config->MaxEventGapOf(upstream->entry.service)
                   : Millis(0);
    };
    hooks.prompt_waiting = [this](const MachineId& machine,
                                  const UpstreamId& engine,
                                  const ModelRef& target) {
      orders_.OnPromptWaiting(machine, engine, target);
    };
    return hooks;
  }

  // Asks the engine whether it has the start that its entry states. Returns
  // false if it is no engine that can be asked.
  bool CheckStart(const CrashId& id, std::function<void(bool)> done) {
    UpstreamState* upstream = state_.upstreams.Find(id.upstream);
    if (upstream == nullptr ||
        records_.EngineProfileOf(id.upstream) == nullptr) {
      return false;
    }
    gateway_deps_.engines->FetchReport(
        id.upstream, upstream->entry.address,
        [id, done = std::move(done)](bool ok, const EngineReport& report) {
          done(ok && report.started_ms == id.started_ms);
        });
    return true;
  }

  // The others needn't find out by requests of their own.
  void OnLeavingResponse(const UpstreamId& id, Millis sent_at) {
    if (!state_.upstreams.OnLeavingResponse(id, sent_at, EventLoop::Now())) {
      return;
    }
    int64_t started_ms = state_.upstreams.Find(id)->entry.started_ms;
    LogInfo("upstream", "Says that it leaves id={} started_ms={}.", id.str(),
            started_ms);
    schema::PeerItem item;
    item.mutable_leaving_news()->set_upstream(id.str());
    item.mutable_leaving_news()->set_started_ms(started_ms);
    peers_.Broadcast(item);
  }

  PartCrashService::AliveCheck EngineCheck() {
    return [this](const CrashId& id, std::function<void(bool)> done) {
      CheckStart(id, std::move(done));
    };
  }

  RequestServices MakeRequestServices() {
    RequestServices services;
    services.adapters = &adapters_;
    services.callers = &callers_;
    services.crashes = &crashes_;
    services.loads = &load_broadcaster_;
    services.part_crashes = &part_crashes_;
    services.paths = &paths_;
    services.peers = &peers_;
    services.permits = &permits_;
    services.prefills = &prefills_;
    services.rate_limits = &rate_limits_;
    services.streams = &streams_;
    services.upstream_leaves = [this](const UpstreamId& id, Millis sent_at) {
      OnLeavingResponse(id, sent_at);
    };
    services.check_start = [this](const CrashId& id,
                                  std::function<void(bool)> done) {
      return CheckStart(id, std::move(done));
    };
    return services;
  }

  // The two APIs differ only in their codecs.
  void InitRequestDeps() {
    request_deps_.loop = loop_;
    request_deps_.client = gateway_deps_.client;
    request_deps_.codec = gateway_deps_.codec;
    request_deps_.state = &state_;
    request_deps_.hooks = MakeRequestHooks(MakeRequestServices());
    completions_request_deps_ = request_deps_;
    completions_request_deps_.codec = gateway_deps_.completions_codec;
    completions_request_deps_.api = CallerApi::kCompletions;
  }

  RouteService::Hooks RouteHooks() {
    RouteService::Hooks hooks;
    hooks.path_is_lost = [this] { return paths_.is_lost(); };
    hooks.may_begin_stream = [this](const ServiceId& service,
                                    const SoftwareVersion& version) {
      return streams_.MayBegin(service, version);
    };
    return hooks;
  }

  static RateTolerance RateToleranceOf(const ClusterBounds& bounds) {
    return {bounds.rate_excess_ratio, bounds.rate_extra_tokens,
            bounds.rate_window.seconds()};
  }

  static Millis PeerQueryAge(const ClusterBounds& bounds) {
    return std::min(kPeerQueryAge, Millis(bounds.key_revocation.count() /
                                          kPeerQueryAgeDivisor));
  }

  HttpServerOptions ServerOptionsFor(const std::string& address) const {
    std::optional<Address> parsed = ParseAddress(address);
    HttpServerOptions options;
    options.bind_ip = parsed->ip;
    options.port = parsed->port;
    options.loop = loop_;
    options.guard = guard_;
    return options;
  }

  void Listen() {
    callers_.Listen(state_.settings.caller_address, &request_deps_);
    if (gateway_deps_.completions_codec != nullptr) {
      callers_.Listen(gateway_deps_.completions_address,
                      &completions_request_deps_);
    }
    ready_server_ = std::make_unique<HttpServer>(
        ServerOptionsFor(state_.settings.ready_address),
        [this](HttpRequest request, std::shared_ptr<Responder> responder) {
          responder->Send(OnReadyRequest(request));
        });
    HttpServerOptions peer_options =
        ServerOptionsFor(state_.settings.peer_address);
    // For requests that other instances relay, which have checked their size.
    peer_options.max_body_bytes = kMaxPeerBodyBytes;
    peer_options.max_header_bytes = kMaxPeerHeaderBytes;
    peer_options.first_connection_id = CallerFrontend::kFirstRelayConnectionId;
    peer_options.on_connection_closed = [this](uint64_t connection_id) {
      callers_.OnConnectionClosed(connection_id);
    };
    peer_server_ = std::make_unique<HttpServer>(
        peer_options,
        [this](HttpRequest request, std::shared_ptr<Responder> responder) {
          OnPeerRequest(std::move(request), std::move(responder));
        });
  }

  // Requests that have not been sent get another instance, or an end.
  void OnPathLost() {
    for (const auto& handler : callers_.open_requests()) {
      handler->OnPathLost();
    }
  }

  void OnPeerRequest(HttpRequest request,
                     std::shared_ptr<Responder> responder) {
    std::optional<RelayedTarget> relayed = ParseRelayTarget(request.target);
    if (relayed) {
      bool is_completions = relayed->api == CallerApi::kCompletions &&
                            gateway_deps_.completions_codec != nullptr;
      callers_.OnRelayedRequest(
          is_completions ? completions_request_deps_ : request_deps_,
          std::move(request), *relayed, std::move(responder));
    } else if (request.path == kChangesPath) {
      reader_service_.OnQuery(request, std::move(responder));
    } else if (request.path == kRoutePath) {
      responder->Send(routes_.OnQuery(request));
    } else {
      responder->Send(freshness_service_->OnStateRequest(request));
    }
  }

  // Adapters.

  void ApplyAdapterStatus(const UpstreamId& engine, const ModelRef& target,
                          int64_t version, AdapterStatus status) {
    if (status == AdapterStatus::kEvicted) {
      state_.residency.OnRemoved(engine, target, EventLoop::Now());
      return;
    }
    if (status == AdapterStatus::kReady) {
      state_.residency.OnReady(engine, target, version);
    }
    for (const auto& handler : callers_.open_requests()) {
      if (status == AdapterStatus::kReady) {
        handler->OnAdapterReady(engine, target);
      } else if (status == AdapterStatus::kLoading) {
        handler->OnAdapterLoading(engine, target);
      } else {
        handler->OnEngineFull(engine, target);
      }
    }
  }

  // Readiness and metrics.

  bool IsReady() const {
    // Without a path, callers are served better elsewhere, if there is one.
    bool is_no_use = paths_.is_lost() && paths_.HasRelay();
    return !state_.stopping && state_.config != nullptr && !is_no_use &&
           state_.freshness.MayServe(EventLoop::Now());
  }

  HttpResponse OnReadyRequest(const HttpRequest& request) {
    HttpResponse response;
    if (request.path == "/metrics") {
      response.headers.Add("Content-Type", "text/plain; version=0.0.4");
      response.body = FormatMetrics(state_, CollectMetrics());
      return response;
    }
    response.status = IsReady() ? kOkStatus : kServiceUnavailableStatus;
    return response;
  }

  InstanceMetrics CollectMetrics() const {
    InstanceMetrics metrics;
    metrics.orders = orders_.order_count();
    metrics.reports = orders_.report_count();
    metrics.upstream_connections = gateway_deps_.client->connections_opened();
    metrics.open_requests = callers_.open_requests().size();
    metrics.peers = peers_.peers().size();
    metrics.body_bytes_held = guard_->budget().bytes_held();
    metrics.response_bytes_held = gateway_deps_.client->response_bytes_held();
    metrics.calls_ended_for_memory =
        gateway_deps_.client->calls_ended_for_memory();
    metrics.caller_connections = guard_->budget().connection_count();
    metrics.connections_ended = guard_->ended();
    metrics.store_view_age_ms = state_.freshness.Age(EventLoop::Now()).count();
    return metrics;
  }

  const GatewayDeps gateway_deps_;
  EventLoop* const loop_;
  const ClusterMember self_;
  ServingState state_;
  // The full read in progress is the first of this process, and the store is
  // back from a copy.
  bool starts_from_copy_ = false;
  Millis store_view_at_;  // The view has all records of the store up to then.
  StoreSync store_sync_;
  ReaderService reader_service_;
  PeerMessenger peers_;
  Membership membership_;
  OrderService orders_;
  AdapterService adapters_;
  LoadBroadcaster load_broadcaster_;
  RateLimitService rate_limits_;
  PrefillService prefills_;
  CrashService crashes_;
  PartCrashService part_crashes_;
  PermitService permits_;
  StreamService streams_;
  PathService paths_;
  std::unique_ptr<FreshnessService> freshness_service_;
  std::unique_ptr<PeerDispatcher> dispatcher_;
  RequestDeps request_deps_;
  RequestDeps completions_request_deps_;
  const std::shared_ptr<ConnectionGuard> guard_;
  CallerFrontend callers_;
  RouteService routes_;
  KeptConfigService kept_config_;
  ColdService cold_;
  RecordApplier records_;
  std::unique_ptr<HttpServer> ready_server_;
  std::unique_ptr<HttpServer> peer_server_;
};

Gateway::Gateway(const InstanceSettings& settings, GatewayDeps deps)
    : impl_(std::make_unique<Impl>(settings, std::move(deps))) {}

Gateway::~Gateway() = default;

void Gateway::Stop(std::function<void()> done) { impl_->Stop(std::move(done)); }

}  // namespace bilberrypitch
