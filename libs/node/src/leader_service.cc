// The zone's leader in the process.
#include "node/leader_service.h"

#include <fmt/format.h>

#include <set>

#include "base/json.h"
#include "base/log.h"
#include "config/catalog.h"
#include "config/settings.h"
#include "membership/pause_detector.h"
#include "node/fleet_service.h"
#include "node/metrics.h"
#include "node/upstream_table.h"
#include "schema/peer.pb.h"
#include "schema/settings.pb.h"
#include "transport/http_client.h"
#include "transport/store_client.h"

namespace bilberrypitch {
namespace {

constexpr Millis kConsiderPeriod{500};
constexpr Millis kPollPeriod{500};
constexpr Millis kTablePeriod{500};
constexpr Millis kCheckPeriod{1000};
constexpr Millis kListenFirst{4000};
constexpr Millis kOrderDeadline{8000};
constexpr Millis kListingDeadline{1000};

OrderResult ResultOf(const Order& order, const CallOutcome& outcome) {
  if (SurelyNotSent(outcome.result)) {
    return OrderResult::kNotSent;
  }
  if (outcome.result != CallResult::kComplete) {
    return OrderResult::kUnknown;
  }
  bool absent = order.kind == OrderKind::kUnload && outcome.status == 404;
  if (outcome.status == 200 || absent) {
    return OrderResult::kDone;
  }
  // A gateway's answer says nothing about the engine.
  return outcome.status >= 502 ? OrderResult::kUnknown : OrderResult::kFailed;
}

std::vector<IncarnationId> NamesIn(const std::string& body) {
  std::vector<IncarnationId> names;
  boost::system::error_code ec;
  json::value value = json::parse(body, ec);
  if (ec || !value.is_object()) {
    return names;
  }
  const json::value* data = value.get_object().if_contains("data");
  if (data == nullptr || !data->is_array()) {
    return names;
  }
  for (const json::value& it : data->get_array()) {
    const json::value* id =
        it.is_object() ? it.get_object().if_contains("id") : nullptr;
    if (id != nullptr && id->is_string()) {
      names.push_back(IncarnationId(std::string(id->get_string())));
    }
  }
  return names;
}

LeaderOptions OptionsFor(const Catalog& catalog, const ZoneId& zone,
                         const schema::Settings& settings) {
  LeaderOptions options;
  options.longest_request = Millis(settings.deadlines().request_ms());
  options.plain_lru = settings.policy() == kBaselinePolicy;
  const FleetEntry& fleet = catalog.fleet();
  size_t zones = std::max<size_t>(fleet.zones.size(), 1);
  options.loads_per_s = fleet.loads_per_s / static_cast<double>(zones);
  options.loads_in_flight = fleet.loads_in_flight / zones;
  // What does not divide goes to the first zones; never more in all.
  size_t rest = fleet.loads_in_flight % zones;
  for (size_t i = 0; i < fleet.zones.size() && i < rest; ++i) {
    options.loads_in_flight += fleet.zones[i].id == zone ? 1 : 0;
  }
  return options;
}

}  // namespace

LeaderService::LeaderService(const NodeContext& context, FleetService* fleet,
                             UpstreamTable* upstreams)
    : context_(context),
      fleet_(fleet),
      upstreams_(upstreams),
      started_(BootTimeNow()) {}

bool LeaderService::leads() const {
  std::lock_guard lock(lock_);
  return leader_ != nullptr;
}

uint64_t LeaderService::epoch() const {
  std::lock_guard lock(lock_);
  return leader_ == nullptr ? 0 : leader_->epoch();
}

LeaderCounters LeaderService::counters() const {
  std::lock_guard lock(lock_);
  return leader_ == nullptr ? LeaderCounters() : leader_->counters();
}

void LeaderService::Tick(Millis now) {
  ConsiderLeading(now);
  bool trusted = fleet_->Trusted();
  std::vector<Order> orders;
  bool poll = false;
  bool check = false;
  {
    std::lock_guard lock(lock_);
    if (leader_ == nullptr) {
      return;
    }
    check = now >= next_check_;
    if (check) next_check_ = now + kCheckPeriod;
    poll = now >= next_poll_;
    if (poll) next_poll_ = now + kPollPeriod;
  }
  if (check) CheckRecord();
  if (!trusted) {
    return;  // After a pause no order is sent until the store confirms.
  }
  UpdateEngines(now);
  if (poll) PollEngines(now);
  std::shared_ptr<const Catalog> catalog = context_.catalog();
  auto pool_of = [&](const AdapterVersionRef& ref) {
    auto resolved =
        catalog->Resolve(fmt::format("{}@{}", ref.adapter.str(), ref.version));
    return resolved ? resolved->pool : PoolId();
  };
  {
    std::lock_guard lock(lock_);
    if (leader_ == nullptr || catalog == nullptr) {
      return;
    }
    orders = leader_->Tick(now, pool_of);
  }
  for (const Order& it : orders) {
    SendOrder(it);
  }
  SendTable(now);
}

void LeaderService::ConsiderLeading(Millis now) {
  {
    std::lock_guard lock(lock_);
    if (leader_ != nullptr || taking_ || leaving_ || now < next_consider_) {
      return;
    }
    next_consider_ = now + kConsiderPeriod;
  }
  bool preferred = fleet_->PreferredLeader(now) == context_.boot;
  if (!preferred || !fleet_->Confirmed(now) || context_.catalog() == nullptr) {
    return;
  }
  {
    std::lock_guard lock(lock_);
    taking_ = true;
  }
  std::string key = kLeaderPrefix + context_.zone.str();
  context_.store->Read(key, [this](StoreReadResult result) {
    schema::ZoneLeadership record;
    int64_t revision = 0;
    bool readable = result.status == StoreStatus::kOk;
    if (readable && !result.entries.empty()) {
      readable = record.ParseFromString(result.entries[0].value);
      revision = result.entries[0].mod_revision;
    }
    BootId holder(record.boot());
    // A live leader stays, whoever is preferred. One that was not heard yet
    // counts as live until this process has listened long enough.
    Millis now = BootTimeNow();
    bool live = fleet_->IsLive(holder, now) || now - started_ < kListenFirst;
    bool stays = !holder.empty() && holder != context_.boot && live;
    if (!readable || stays) {
      std::lock_guard lock(lock_);
      taking_ = false;
      return;
    }
    bool resigned = holder.empty();
    Take(record.epoch() + 1, revision, resigned);
  });
}

void LeaderService::Take(uint64_t epoch, int64_t mod_revision, bool resigned) {
  schema::ZoneLeadership record;
  record.set_epoch(epoch);
  record.set_boot(context_.boot.str());
  record.set_instance(context_.instance.str());
  StoreTransaction transaction;
  std::string key = kLeaderPrefix + context_.zone.str();
  transaction.conditions.push_back({key, mod_revision});
  transaction.writes.push_back({key, record.SerializeAsString(), false, 0});
  context_.store->Commit(transaction,
                         [this, epoch, resigned](StoreStatus status) {
                           if (status != StoreStatus::kOk) {
                             // A lost answer: the next look finds this boot in
                             // the record and takes a higher epoch.
                             std::lock_guard lock(lock_);
                             taking_ = false;
                             return;
                           }
                           BecomeLeader(epoch, resigned, BootTimeNow());
                         });
}

void LeaderService::BecomeLeader(uint64_t epoch, bool resigned, Millis begun) {
  std::lock_guard lock(lock_);
  taking_ = false;
  if (leaving_) {
    return;
  }
  std::shared_ptr<const Catalog> catalog = context_.catalog();
  leader_ = std::make_unique<ZoneLeader>(
      context_.zone, epoch, context_.boot,
      OptionsFor(*catalog, context_.zone, *context_.settings), resigned, begun);
  next_poll_ = Millis();
  sent_sequence_ = 0;
  context_.metrics->Set("leader_epoch", "", static_cast<double>(epoch));
  LogInfo("leader", "Leads zone {} with epoch {}.", context_.zone.str(), epoch);
}

void LeaderService::CheckRecord() {
  std::string key = kLeaderPrefix + context_.zone.str();
  context_.store->Read(key, [this](StoreReadResult result) {
    schema::ZoneLeadership record;
    bool readable = result.status == StoreStatus::kOk &&
                    !result.entries.empty() &&
                    record.ParseFromString(result.entries[0].value);
    if (readable) {
      OnOtherLeader(record.epoch());
    }
  });
}

void LeaderService::OnOtherLeader(uint64_t epoch) {
  std::lock_guard lock(lock_);
  if (leader_ != nullptr && epoch > leader_->epoch()) {
    LogInfo("leader", "Another leads zone {} with epoch {}; stands down.",
            context_.zone.str(), epoch);
    context_.metrics->Set("leader_epoch", "", 0);
    leader_.reset();
  }
}

void LeaderService::UpdateEngines(Millis now) {
  std::shared_ptr<const Catalog> catalog = context_.catalog();
  std::set<BootId> registered;
  bool known = fleet_->RegisteredBoots(&registered);
  LeavingUpstreams leaving = fleet_->leaving_upstreams();
  if (catalog == nullptr) {
    return;
  }
  std::vector<EngineSpec> engines;
  for (const UpstreamEntry& it : catalog->upstreams()) {
    if (it.kind == UpstreamKind::kEngine && it.zone == context_.zone) {
      engines.push_back({it.id, it.pool, it.adapter_slots, it.batch_slots,
                         it.leaving || leaving.count(it.id) != 0,
                         !upstreams_->IsDown(it.id, now)});
    }
  }
  std::lock_guard lock(lock_);
  if (leader_ == nullptr) {
    return;
  }
  leader_->SetOptions(OptionsFor(*catalog, context_.zone, *context_.settings));
  leader_->SetEngines(engines);
  if (known) {
    leader_->SetMembers(registered, now);
  }
}

void LeaderService::PollEngines(Millis now) {
  std::shared_ptr<const Catalog> catalog = context_.catalog();
  if (catalog == nullptr) {
    return;
  }
  for (const UpstreamEntry& it : catalog->upstreams()) {
    if (it.kind == UpstreamKind::kEngine && it.zone == context_.zone) {
      ReadListing(it.id, it.address, now);
    }
  }
}

void LeaderService::ReadListing(const UpstreamId& upstream,
                                const std::string& address, Millis now) {
  HttpCall call;
  call.address = address;
  call.target = "/v1/models";
  call.deadlines = {kListingDeadline, kListingDeadline, kListingDeadline,
                    kListingDeadline};
  call.on_done = [this, upstream, now](CallOutcome outcome) {
    upstreams_->OnProbe(upstream, outcome.result, BootTimeNow());
    if (outcome.result != CallResult::kComplete || outcome.status != 200) {
      return;
    }
    std::lock_guard lock(lock_);
    if (leader_ != nullptr) {
      leader_->OnListing(upstream, NamesIn(outcome.body), now);
    }
  };
  context_.http->Start(std::move(call));
}

void LeaderService::SendOrder(const Order& order) {
  std::shared_ptr<const Catalog> catalog = context_.catalog();
  const UpstreamEntry* upstream = catalog->FindUpstream(order.upstream);
  auto resolved = catalog->Resolve(
      fmt::format("{}@{}", order.ref.adapter.str(), order.ref.version));
  bool load = order.kind == OrderKind::kLoad;
  if (upstream == nullptr || (load && !resolved)) {
    std::lock_guard lock(lock_);
    if (leader_ != nullptr) {
      leader_->OnOrderResult(order.id, OrderResult::kNotSent, BootTimeNow());
    }
    return;
  }
  json::object body{{"lora_name", order.name.str()}};
  if (load) body["lora_path"] = resolved->source;
  HttpCall call;
  call.method = "POST";
  call.address = upstream->address;
  call.target = load ? "/v1/load_lora_adapter" : "/v1/unload_lora_adapter";
  call.headers.Add("Content-Type", "application/json");
  call.headers.Add("X-Fencing-Token", std::to_string(order.fence));
  call.body = json::serialize(body);
  call.own_connection = true;
  call.deadlines = {kListingDeadline, kOrderDeadline, kOrderDeadline,
                    kOrderDeadline};
  Millis begun = BootTimeNow();
  call.on_done = [this, order, load, begun](CallOutcome outcome) {
    OrderResult result = ResultOf(order, outcome);
    Millis now = BootTimeNow();
    if (load && result == OrderResult::kDone) {
      context_.metrics->Observe("adapter_load_seconds",
                                (now - begun).seconds());
    }
    context_.metrics->Add(
        load ? "adapter_loads_total" : "adapter_unloads_total",
        result == OrderResult::kDone ? "result=\"done\"" : "result=\"failed\"");
    std::lock_guard lock(lock_);
    if (leader_ != nullptr && leader_->epoch() == order.fence) {
      leader_->OnOrderResult(order.id, result, now);
    }
  };
  context_.http->Start(std::move(call));
}

void LeaderService::SendTable(Millis now) {
  std::vector<BootId> members;
  schema::Envelope envelope;
  {
    std::lock_guard lock(lock_);
    bool due = leader_ != nullptr &&
               (leader_->sequence() != sent_sequence_ || now >= next_table_);
    if (!due) {
      return;
    }
    sent_sequence_ = leader_->sequence();
    next_table_ = now + kTablePeriod;
    members.assign(leader_->members().begin(), leader_->members().end());
    *envelope.mutable_residency_table() = leader_->Table();
  }
  for (const BootId& it : members) {
    std::string address = fleet_->AddressOf(it);
    if (!address.empty()) {
      context_.send(address, envelope);
    }
  }
}

void LeaderService::OnReport(const schema::Envelope& envelope, Millis now) {
  if (envelope.residency_report().zone() != context_.zone.str()) {
    return;
  }
  std::lock_guard lock(lock_);
  if (leader_ != nullptr) {
    leader_->OnReport(BootId(envelope.from_boot()), envelope.residency_report(),
                      now);
  }
}

void LeaderService::OnDemand(const schema::Envelope& envelope, Millis now) {
  std::vector<DemandReport> reports;
  for (const schema::DemandEntry& it : envelope.demand().entries()) {
    reports.push_back({{AdapterId(it.adapter()), it.version()},
                       it.waiting(),
                       Millis(it.oldest_wait_ms()),
                       it.requests_per_s()});
  }
  std::lock_guard lock(lock_);
  if (leader_ != nullptr) {
    leader_->OnDemand(BootId(envelope.from_boot()), reports, now);
  }
}

bool LeaderService::Resign() {
  uint64_t epoch = 0;
  {
    std::lock_guard lock(lock_);
    leaving_ = true;
    if (leader_ == nullptr) {
      return true;
    }
    leader_->Resign();
    if (!leader_->Quiet()) {
      return false;
    }
    epoch = leader_->epoch();
    leader_.reset();
  }
  std::string key = kLeaderPrefix + context_.zone.str();
  StoreReadResult stands = context_.store->ReadNow(key);
  schema::ZoneLeadership record;
  bool own = stands.status == StoreStatus::kOk && !stands.entries.empty() &&
             record.ParseFromString(stands.entries[0].value) &&
             record.boot() == context_.boot.str();
  if (!own) {
    return true;
  }
  record.set_epoch(epoch);
  record.clear_boot();
  StoreTransaction transaction;
  transaction.conditions.push_back({key, stands.entries[0].mod_revision});
  transaction.writes.push_back({key, record.SerializeAsString(), false, 0});
  context_.store->CommitNow(transaction);
  LogInfo("leader", "Resigned the lead of zone {}.", context_.zone.str());
  return true;
}

}  // namespace bilberrypitch
