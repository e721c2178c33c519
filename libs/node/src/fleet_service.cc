// Membership of this instance.
#include "node/fleet_service.h"

#include <fmt/format.h>

#include <algorithm>

#include "base/hash.h"
#include "base/json.h"
#include "base/log.h"
#include "node/metrics.h"
#include "schema/peer.pb.h"
#include "schema/settings.pb.h"
#include "transport/http_client.h"
#include "transport/store_client.h"

namespace bilberrypitch {
namespace {

constexpr Millis kHeartbeatPeriod{250};
constexpr Millis kHeartbeatTimeout{1500};
constexpr Millis kListPeriod{500};
constexpr Millis kRegistrationPeriod{1000};
constexpr Millis kLongestGap{2000};
constexpr char kInstancePrefix[] = "/bilberrypitch/instances/";

std::string RegistrationKey(const ZoneId& zone, const BootId& boot) {
  return kInstancePrefix + zone.str() + "/" + boot.str();
}

RegistrationRecord FromWire(const schema::Registration& it, int64_t revision) {
  RegistrationRecord record;
  record.instance = InstanceId(it.instance());
  record.boot = BootId(it.boot());
  record.zone = ZoneId(it.zone());
  for (const std::string& boot : it.view()) {
    record.view.push_back(BootId(boot));
  }
  record.marked_by = BootId(it.marked_by());
  record.mod_revision = revision;
  return record;
}

std::string ToWire(const RegistrationRecord& record) {
  schema::Registration it;
  it.set_instance(record.instance.str());
  it.set_boot(record.boot.str());
  it.set_zone(record.zone.str());
  for (const BootId& boot : record.view) {
    it.add_view(boot.str());
  }
  it.set_marked_by(record.marked_by.str());
  return it.SerializeAsString();
}

std::string StringIn(const json::object& object, const char* name) {
  const json::value* it = object.if_contains(name);
  return it != nullptr && it->is_string() ? std::string(it->get_string()) : "";
}

HeartbeatFacts FirstFacts(const NodeContext& context,
                          const std::string& address) {
  HeartbeatFacts facts;
  facts.instance = context.instance;
  facts.boot = context.boot;
  facts.zone = context.zone;
  facts.peer_address = address;
  return facts;
}

std::string PeerAddress(const NodeContext& context) {
  return fmt::format("{}:{}", context.settings->bind_ip(),
                     context.settings->peer_port());
}

}  // namespace

FleetService::FleetService(const NodeContext& context)
    : context_(context),
      peer_address_(PeerAddress(context)),
      members_(FirstFacts(context, peer_address_), kHeartbeatTimeout),
      keeper_(context.instance, context.boot, context.zone, {}),
      pauses_(kLongestGap) {}

HeartbeatFacts FleetService::SelfFacts(uint64_t generation,
                                       bool store_reachable) const {
  HeartbeatFacts facts = FirstFacts(context_, peer_address_);
  facts.generation = generation;
  facts.leaving = leaving_;
  facts.store_reachable = store_reachable;
  return facts;
}

void FleetService::Tick(Millis now, uint64_t generation,
                        Millis store_confirmed) {
  bool send = false;
  bool list = false;
  bool registrations = false;
  bool store_reachable = now - store_confirmed < kRegistrationPeriod * 5;
  {
    std::lock_guard lock(lock_);
    if (pauses_.OnTick(now)) {
      paused_at_ = now;
      LogWarning("fleet",
                 "This process was paused. Nothing is trusted until "
                 "the store or a peer confirms.");
      context_.metrics->Add("pauses_total", "");
    }
    generation_ = generation;
    confirmed_at_ = std::max(confirmed_at_, store_confirmed);
    members_.SetSelf(SelfFacts(generation, store_reachable));
    send = now >= next_heartbeat_;
    list = now >= next_list_;
    registrations = now >= next_registrations_;
    if (send) next_heartbeat_ = now + kHeartbeatPeriod;
    if (list) next_list_ = now + kListPeriod;
    if (registrations) {
      // Spread, so that instances don't read at the same moment.
      next_registrations_ =
          now + kRegistrationPeriod +
          Millis(static_cast<int64_t>(
              StableHash(context_.boot.str(), std::to_string(now.count())) %
              200));
    }
  }
  if (send) SendHeartbeats(now, generation, store_reachable);
  if (list) ReadList(now);
  if (registrations) ReadRegistrations(now);
}

void FleetService::SendHeartbeats(Millis now, uint64_t generation,
                                  bool store_reachable) {
  std::vector<std::pair<std::string, schema::Envelope>> outgoing;
  {
    std::lock_guard lock(lock_);
    for (const Member& peer : members_.Peers()) {
      schema::Envelope envelope;
      schema::Heartbeat* it = envelope.mutable_heartbeat();
      it->set_generation(generation);
      it->set_leaving(leaving_);
      it->set_store_reachable(store_reachable);
      it->set_address(peer_address_);
      it->set_sent_ms(now.count());
      auto sent = newest_sent_.find(peer.boot);
      if (sent != newest_sent_.end()) {
        it->set_vouched_sent_ms(sent->second.count());
        // Given back to every peer, to show that it was heard; a vouch only
        // when this instance stands for it.
        bool vouches =
            peer.zone != context_.zone || keeper_.VouchesFor(peer.boot);
        it->set_vouched_boot(vouches ? peer.boot.str() : "");
      }
      for (const SeenMark& mark : keeper_.MarksSeen()) {
        schema::SeenMark* seen = it->add_marks_seen();
        seen->set_boot(mark.boot.str());
        seen->set_revision(mark.revision);
      }
      outgoing.emplace_back(peer.peer_address, std::move(envelope));
    }
  }
  for (auto& [address, envelope] : outgoing) {
    context_.send(address, std::move(envelope));
  }
}

void FleetService::OnHeartbeat(const schema::Envelope& envelope, Millis now) {
  const schema::Heartbeat& it = envelope.heartbeat();
  HeartbeatFacts facts;
  facts.instance = InstanceId(envelope.from());
  facts.zone = ZoneId(envelope.from_zone());
  facts.boot = BootId(envelope.from_boot());
  facts.peer_address = it.address();
  facts.generation = it.generation();
  facts.leaving = it.leaving();
  facts.store_reachable = it.store_reachable();
  std::lock_guard lock(lock_);
  members_.OnHeartbeat(facts, now);
  Millis& newest = newest_sent_[facts.boot];
  newest = std::max(newest, Millis(it.sent_ms()));
  if (it.vouched_boot() == context_.boot.str()) {
    keeper_.OnVouch(facts.boot, Millis(it.vouched_sent_ms()));
    // A peer with a newer document confirms nothing until that has come.
    if (it.generation() <= generation_) {
      confirmed_at_ = std::max(confirmed_at_, Millis(it.vouched_sent_ms()));
    }
  }
  std::vector<SeenMark> marks;
  for (const schema::SeenMark& mark : it.marks_seen()) {
    marks.push_back({BootId(mark.boot()), mark.revision()});
  }
  keeper_.OnMarksSeen(facts.boot, marks);
}

void FleetService::ReadList(Millis now) {
  if (reading_list_.exchange(true)) {
    return;
  }
  HttpCall call;
  call.address = context_.settings->list_address();
  call.target = "/instances";
  Millis deadline(context_.settings->deadlines().store_ms());
  call.deadlines = {deadline, deadline, deadline, deadline};
  call.on_done = [this, now](CallOutcome outcome) {
    reading_list_ = false;
    boost::system::error_code ec;
    json::value value = json::parse(outcome.body, ec);
    bool readable = outcome.result == CallResult::kComplete &&
                    outcome.status == 200 && !ec && value.is_object() &&
                    value.get_object().contains("instances") &&
                    value.at("instances").is_array();
    if (!readable) {
      return;
    }
    std::vector<ListedInstance> listed;
    LeavingUpstreams leaving;
    for (const json::value& item : value.at("instances").get_array()) {
      if (!item.is_object()) {
        continue;
      }
      const json::object& it = item.get_object();
      bool is_leaving = StringIn(it, "state") == "leaving";
      if (StringIn(it, "role") == "upstream") {
        if (is_leaving) leaving.insert(UpstreamId(StringIn(it, "instance")));
        continue;
      }
      listed.push_back(
          {InstanceId(StringIn(it, "instance")), ZoneId(StringIn(it, "zone")),
           StringIn(it, "peer_address"),
           is_leaving ? ListedState::kLeaving : ListedState::kLive});
    }
    std::lock_guard lock(lock_);
    members_.OnList(listed, now);
    leaving_upstreams_ = std::move(leaving);
  };
  context_.http->Start(std::move(call));
}

void FleetService::ReadRegistrations(Millis now) {
  if (reading_registrations_.exchange(true)) {
    return;
  }
  context_.store->ReadPrefix(kInstancePrefix, [this, now](StoreReadResult it) {
    reading_registrations_ = false;
    if (it.status == StoreStatus::kOk) {
      OnRegistrations(it, now);
    }
  });
}

void FleetService::OnRegistrations(const StoreReadResult& result,
                                   Millis begun) {
  std::vector<RegistrationAction> actions;
  {
    std::lock_guard lock(lock_);
    std::vector<RegistrationRecord> own_zone;
    registered_boots_.clear();
    for (const StoreEntry& entry : result.entries) {
      schema::Registration wire;
      if (!wire.ParseFromString(entry.value)) {
        continue;
      }
      registered_boots_.insert(BootId(wire.boot()));
      if (wire.zone() == context_.zone.str()) {
        own_zone.push_back(FromWire(wire, entry.mod_revision));
      }
    }
    registrations_read_ = true;
    keeper_.OnStoreRead(own_zone, result.revision, begun);
    if (leaving_) {
      return;
    }
    Millis now = BootTimeNow();
    auto sight = [&](const RegistrationRecord& record) {
      MemberSight it;
      it.live = members_.IsLive(record.boot, now);
      bool replaced = record.instance == context_.instance;
      for (const Member& member : members_.Peers()) {
        bool same = member.instance == record.instance;
        replaced = replaced ||
                   (same && !member.boot.empty() && member.boot != record.boot);
      }
      // An instance runs one process: a later boot means the earlier is dead.
      it.listed = !replaced && members_.IsListed(record.instance);
      return it;
    };
    actions = keeper_.Tick(now, sight);
  }
  for (const RegistrationAction& it : actions) {
    Apply(it);
  }
}

void FleetService::Apply(const RegistrationAction& action) {
  const RegistrationRecord& record = action.record;
  std::string key = RegistrationKey(record.zone, record.boot);
  StoreTransaction transaction;
  transaction.conditions.push_back({key, record.mod_revision});
  StoreWrite write;
  write.key = key;
  write.remove = action.kind == RegistrationActionKind::kRemove;
  write.value = ToWire(record);
  transaction.writes.push_back(write);
  context_.store->Commit(transaction, [this, action](StoreStatus status) {
    if (action.kind == RegistrationActionKind::kRemove &&
        status == StoreStatus::kOk) {
      LogInfo("fleet", "Removed the registration of {}, which died.",
              action.record.instance.str());
    }
    bool may_stand =
        status == StoreStatus::kOk || status == StoreStatus::kUnknown;
    std::lock_guard lock(lock_);
    if (action.kind == RegistrationActionKind::kWriteOwn && may_stand) {
      keeper_.OnOwnWritten(action.record, status == StoreStatus::kOk);
      next_registrations_ = Millis();
    }
  });
}

bool FleetService::Trusted() const {
  std::lock_guard lock(lock_);
  return confirmed_at_ >= paused_at_ && !pauses_.Unnoticed(BootTimeNow());
}

bool FleetService::Confirmed(Millis now) const {
  std::lock_guard lock(lock_);
  return keeper_.Confirmed(now);
}

bool FleetService::registered() const {
  std::lock_guard lock(lock_);
  return keeper_.registered();
}

void FleetService::SetLeaving() {
  std::lock_guard lock(lock_);
  leaving_ = true;
  next_heartbeat_ = Millis();
}

void FleetService::Deregister() {
  RegistrationRecord own;
  {
    std::lock_guard lock(lock_);
    auto it = keeper_.records().find(context_.boot);
    if (it == keeper_.records().end()) {
      return;
    }
    own = it->second;
  }
  StoreTransaction transaction;
  StoreWrite write;
  write.key = RegistrationKey(own.zone, own.boot);
  write.remove = true;
  transaction.writes.push_back(write);
  context_.store->CommitNow(transaction);
}

std::vector<Member> FleetService::Peers() const {
  std::lock_guard lock(lock_);
  return members_.Peers();
}

std::vector<Member> FleetService::LivePeers(Millis now) const {
  std::lock_guard lock(lock_);
  return members_.LivePeers(now);
}

bool FleetService::IsLive(const BootId& boot, Millis now) const {
  std::lock_guard lock(lock_);
  return members_.IsLive(boot, now);
}

std::string FleetService::AddressOf(const BootId& boot) const {
  if (boot == context_.boot) {
    return peer_address_;
  }
  std::lock_guard lock(lock_);
  const Member* member = members_.FindBoot(boot);
  return member == nullptr ? "" : member->peer_address;
}

BootId FleetService::PreferredLeader(Millis now) const {
  std::lock_guard lock(lock_);
  return members_.PreferredLeader(context_.zone, now);
}

bool FleetService::AmongFirst(size_t n, Millis now) const {
  std::lock_guard lock(lock_);
  size_t before = 0;
  for (const Member& it : members_.LivePeers(now)) {
    if (it.zone == context_.zone && it.boot < context_.boot) {
      ++before;
    }
  }
  return before < n;
}

bool FleetService::RegisteredBoots(std::set<BootId>* boots) const {
  std::lock_guard lock(lock_);
  *boots = registered_boots_;
  return registrations_read_;
}

std::vector<BootId> FleetService::ZoneBoots() const {
  std::lock_guard lock(lock_);
  std::vector<BootId> boots;
  for (const auto& [boot, record] : keeper_.records()) {
    boots.push_back(boot);
  }
  return boots;
}

LeavingUpstreams FleetService::leaving_upstreams() const {
  std::lock_guard lock(lock_);
  return leaving_upstreams_;
}

uint64_t FleetService::pauses() const {
  std::lock_guard lock(lock_);
  return pauses_.pauses();
}

}  // namespace bilberrypitch
