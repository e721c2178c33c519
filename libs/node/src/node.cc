// Composition of an entry instance.
#include "node/node.h"

#include <fmt/format.h>
#include <sys/resource.h>

#include <atomic>
#include <chrono>
#include <thread>

#include "base/hash.h"
#include "base/json.h"
#include "base/log.h"
#include "membership/pause_detector.h"
#include "node/caller_api.h"
#include "node/config_service.h"
#include "node/dispatcher.h"
#include "node/fleet_service.h"
#include "node/leader_service.h"
#include "node/limit_service.h"
#include "node/metrics.h"
#include "node/model_api.h"
#include "node/operator_api.h"
#include "node/residency_service.h"
#include "node/service_api.h"
#include "node/upstream_table.h"
#include "schema/peer.pb.h"
#include "schema/settings.pb.h"
#include "transport/http_client.h"
#include "transport/http_server.h"
#include "transport/peer_mesh.h"
#include "transport/store_client.h"

namespace bilberrypitch {
namespace {

constexpr std::chrono::milliseconds kTick{10};
constexpr std::chrono::milliseconds kDrainPoll{20};
constexpr size_t kBootBytes = 6;
constexpr size_t kWatchersInZone = 2;
constexpr size_t kOperatorThreads = 2;
// After the last request ended, peers get this long to take the last reports.
constexpr std::chrono::milliseconds kLastWords{400};
constexpr size_t kOperatorBodyBytes = 64 << 20;

HttpServerOptions CallerOptions(const schema::Settings& settings) {
  HttpServerOptions options;
  options.bind_ip = settings.bind_ip();
  options.port = static_cast<uint16_t>(settings.caller_port());
  options.threads = settings.threads();
  options.max_body_bytes = settings.sizes().body_bytes();
  options.max_header_bytes = settings.sizes().header_bytes();
  return options;
}

HttpServerOptions OperatorOptions(const schema::Settings& settings) {
  HttpServerOptions options = CallerOptions(settings);
  options.port = static_cast<uint16_t>(settings.operator_port());
  options.threads = kOperatorThreads;
  options.max_body_bytes = kOperatorBodyBytes;
  return options;
}

double ProcessorSeconds() {
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  auto seconds = [](const timeval& it) {
    return static_cast<double>(it.tv_sec) +
           static_cast<double>(it.tv_usec) / 1e6;
  };
  return seconds(usage.ru_utime) + seconds(usage.ru_stime);
}

double ResidentBytes() {
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  return static_cast<double>(usage.ru_maxrss) * 1024;
}

}  // namespace

class Node::Impl {
 public:
  explicit Impl(const schema::Settings& settings)
      : settings_(settings),
        http_(settings.threads()),
        store_(MakeEtcdStoreClient(&http_, settings.store_address(),
                                   Millis(settings.deadlines().store_ms()))),
        context_(MakeContext()),
        fleet_(context_),
        upstreams_(context_),
        limits_(context_, &fleet_),
        residency_(context_, &fleet_),
        dispatcher_(context_, &fleet_, &residency_, &upstreams_, &limits_),
        leader_(context_, &fleet_, &upstreams_),
        config_(context_,
                [this](std::shared_ptr<const Catalog> catalog) {
                  dispatcher_.OnDocument(*catalog);
                }),
        models_(context_, &dispatcher_),
        services_(context_, &upstreams_, &limits_),
        callers_(context_, &fleet_, &models_, &services_),
        operators_(
            context_, [this] { return StatusJson(); },
            [this] { return Ready(); }) {
    mesh_ = std::make_unique<PeerMesh>(
        fmt::format("{}:{}", settings.bind_ip(), settings.peer_port()),
        [this](schema::Envelope envelope) { OnPeer(std::move(envelope)); });
    ticker_ = std::thread([this] { TickLoop(); });
    operator_server_ = std::make_unique<HttpServer>(
        OperatorOptions(settings),
        [this](HttpRequest request, std::shared_ptr<Responder> responder) {
          operators_.Handle(std::move(request), std::move(responder));
        });
    caller_server_ = std::make_unique<HttpServer>(
        CallerOptions(settings),
        [this](HttpRequest request, std::shared_ptr<Responder> responder) {
          callers_.Handle(std::move(request), std::move(responder));
        });
    LogInfo("node", "Instance {} in zone {} takes callers on port {}.",
            settings.instance(), settings.zone(), settings.caller_port());
  }

  ~Impl() {
    stopping_ = true;
    caller_server_->Stop();
    operator_server_->Stop();
    ticker_.join();
    mesh_.reset();
  }

  bool Drain() {
    LogInfo("node", "Stops: takes nothing new and ends what is in flight.");
    draining_ = true;
    fleet_.SetLeaving();
    dispatcher_.Close();
    services_.Close();
    auto deadline = std::chrono::steady_clock::now() +
                    std::chrono::milliseconds(settings_.deadlines().drain_ms());
    auto until = [&](const std::function<bool()>& done) {
      while (!done() && std::chrono::steady_clock::now() < deadline) {
        std::this_thread::sleep_for(kDrainPoll);
      }
      return done();
    };
    bool resigned = until([&] { return leader_.Resign(); });
    bool ended = until([&] {
      return dispatcher_.in_flight() + dispatcher_.waiting() +
                 services_.in_flight() ==
             0;
    });
    residency_.Close();
    bool handed = until([&] { return limits_.HandOver() || !Confirmed(); });
    std::this_thread::sleep_for(kLastWords);
    fleet_.Deregister();
    LogInfo("node", "Stopped with {} requests in flight.",
            dispatcher_.in_flight() + services_.in_flight());
    (void)handed;
    return resigned && ended;
  }

 private:
  NodeContext MakeContext() {
    NodeContext context;
    context.settings = &settings_;
    context.http = &http_;
    context.store = store_.get();
    context.metrics = &metrics_;
    context.instance = InstanceId(settings_.instance());
    context.boot = BootId(settings_.instance() + "-" + RandomHex(kBootBytes));
    context.zone = ZoneId(settings_.zone());
    context.catalog = [this] { return config_.catalog(); };
    context.send = [this](const std::string& address, schema::Envelope it) {
      it.set_from(context_.instance.str());
      it.set_from_zone(context_.zone.str());
      it.set_from_boot(context_.boot.str());
      it.set_sequence(++sequence_);
      bool own = address == fmt::format("{}:{}", settings_.bind_ip(),
                                        settings_.peer_port());
      if (own) {
        OnPeer(std::move(it));
      } else {
        mesh_->Send(address, it);
      }
    };
    return context;
  }

  bool Confirmed() { return fleet_.Confirmed(BootTimeNow()); }

  bool Ready() {
    return !draining_ && config_.catalog() != nullptr && fleet_.Trusted() &&
           Confirmed() && residency_.ready();
  }

  void TickLoop() {
    while (!stopping_) {
      Millis now = BootTimeNow();
      bool watches = fleet_.AmongFirst(kWatchersInZone, now);
      fleet_.Tick(now, config_.generation(), config_.store_confirmed());
      config_.Tick(now, watches);
      upstreams_.Tick(now, fleet_.leaving_upstreams());
      residency_.Tick(now);
      leader_.Tick(now);
      limits_.Tick(now, leader_.leads());
      dispatcher_.Tick(now);
      PublishGauges(now);
      std::this_thread::sleep_for(kTick);
    }
  }

  void PublishGauges(Millis now) {
    if (now < next_gauges_) {
      return;
    }
    next_gauges_ = now + Millis(1000);
    metrics_.Set("requests_waiting", "",
                 static_cast<double>(dispatcher_.waiting()));
    metrics_.Set("requests_in_flight", "",
                 static_cast<double>(dispatcher_.in_flight()));
    metrics_.Set("process_cpu_seconds", "", ProcessorSeconds());
    metrics_.Set("process_peak_memory_bytes", "", ResidentBytes());
    metrics_.Set("rate_slots", "", static_cast<double>(limits_.slots(now)));
    PeerMesh::Counters peers = mesh_->counters();
    metrics_.Set("peer_messages_sent", "",
                 static_cast<double>(peers.messages_sent));
    metrics_.Set("peer_bytes_sent", "", static_cast<double>(peers.bytes_sent));
    metrics_.Set("peer_messages_dropped", "",
                 static_cast<double>(peers.dropped));
    StoreCallCounters store = store_->counters();
    metrics_.Set("store_calls", "kind=\"read\"",
                 static_cast<double>(store.reads));
    metrics_.Set("store_calls", "kind=\"write\"",
                 static_cast<double>(store.writes));
    metrics_.Set("store_calls", "kind=\"watch\"",
                 static_cast<double>(store.watches));
    metrics_.Set("store_calls", "kind=\"failed\"",
                 static_cast<double>(store.failures));
  }

  std::string StatusJson() {
    Millis now = BootTimeNow();
    json::array peers;
    for (const Member& it : fleet_.Peers()) {
      peers.push_back({{"instance", it.instance.str()},
                       {"zone", it.zone.str()},
                       {"live", fleet_.IsLive(it.boot, now)},
                       {"listed", it.listed},
                       {"leaving", it.leaving},
                       {"generation", it.generation}});
    }
    json::array zones;
    for (const LedZone& it : residency_.LedZones(now)) {
      zones.push_back(json::value(it.id.str()));
    }
    LeaderCounters leader = leader_.counters();
    json::object status{{"instance", settings_.instance()},
                        {"zone", settings_.zone()},
                        {"boot", context_.boot.str()},
                        {"ready", Ready()},
                        {"draining", draining_.load()},
                        {"trusted", fleet_.Trusted()},
                        {"confirmed", Confirmed()},
                        {"generation", config_.generation()},
                        {"leads_with_epoch", leader_.epoch()},
                        {"zones_with_a_leader", std::move(zones)},
                        {"rate_slots", limits_.slots(now)},
                        {"waiting", dispatcher_.waiting()},
                        {"in_flight", dispatcher_.in_flight()},
                        {"loads", leader.loads},
                        {"evictions", leader.evictions},
                        {"pauses", fleet_.pauses()},
                        {"peers", std::move(peers)}};
    return json::serialize(status);
  }

  void OnPeer(schema::Envelope envelope) {
    Millis now = BootTimeNow();
    std::string address = fleet_.AddressOf(BootId(envelope.from_boot()));
    switch (envelope.body_case()) {
      case schema::Envelope::kHeartbeat:
        limits_.OnPeerClock(BootId(envelope.from_boot()),
                            Millis(envelope.heartbeat().sent_ms()));
        fleet_.OnHeartbeat(envelope, now);
        config_.OnPeerGeneration(envelope.heartbeat().address(),
                                 envelope.heartbeat().generation(), now);
        break;
      case schema::Envelope::kResidencyTable:
        if (envelope.residency_table().zone() == context_.zone.str()) {
          leader_.OnOtherLeader(envelope.residency_table().epoch());
        }
        residency_.OnTable(envelope, now);
        break;
      case schema::Envelope::kResidencyReport:
        leader_.OnReport(envelope, now);
        break;
      case schema::Envelope::kDemand:
        leader_.OnDemand(envelope, now);
        break;
      case schema::Envelope::kTokenTransfer:
        limits_.OnTransfer(envelope, now);
        break;
      case schema::Envelope::kChunkRequest:
        config_.OnChunkRequest(address, envelope.chunk_request());
        break;
      case schema::Envelope::kChunkReply:
        config_.OnChunkReply(address, envelope.chunk_reply());
        break;
      case schema::Envelope::kQuarantine:
        dispatcher_.crashes().OnGossip(envelope, now);
        break;
      case schema::Envelope::BODY_NOT_SET:
        break;
    }
  }

  const schema::Settings settings_;
  Metrics metrics_;
  std::atomic<uint64_t> sequence_ = 0;
  std::atomic<bool> stopping_ = false;
  std::atomic<bool> draining_ = false;
  Millis next_gauges_;
  // The client's workers call back into all below, so they end first: they
  // are members declared after it, and Impl's destructor stops the rest.
  HttpClient http_;
  std::unique_ptr<StoreClient> store_;
  std::unique_ptr<PeerMesh> mesh_;
  NodeContext context_;
  FleetService fleet_;
  UpstreamTable upstreams_;
  LimitService limits_;
  ResidencyService residency_;
  Dispatcher dispatcher_;
  LeaderService leader_;
  ConfigService config_;
  ModelApi models_;
  ServiceApi services_;
  CallerApi callers_;
  OperatorApi operators_;
  std::unique_ptr<HttpServer> operator_server_;
  std::unique_ptr<HttpServer> caller_server_;
  std::thread ticker_;
};

Node::Node(const schema::Settings& settings)
    : impl_(std::make_unique<Impl>(settings)) {}

Node::~Node() = default;

bool Node::Drain() { return impl_->Drain(); }

}  // namespace bilberrypitch
