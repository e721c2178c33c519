// The leader's side of residency.
#include "residency/zone_leader.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>

#include "base/check.h"
#include "schema/peer.pb.h"

namespace bilberrypitch {

IncarnationId ZoneLeader::MakeName(const AdapterVersionRef& ref, uint64_t epoch,
                                   uint64_t n) {
  return IncarnationId(
      fmt::format("{}@{}~{}.{}", ref.adapter.str(), ref.version, epoch, n));
}

bool ZoneLeader::ParseName(const IncarnationId& name, AdapterVersionRef* ref) {
  const std::string& text = name.str();
  size_t tilde = text.rfind('~');
  size_t at = text.rfind('@', tilde);
  if (tilde == std::string::npos || at == std::string::npos) {
    return false;
  }
  uint32_t version = 0;
  const char* end = text.data() + tilde;
  auto [stop, ec] = std::from_chars(text.data() + at + 1, end, version);
  if (ec != std::errc() || stop != end) {
    return false;
  }
  *ref = {AdapterId(text.substr(0, at)), version};
  return true;
}

ZoneLeader::ZoneLeader(ZoneId zone, uint64_t epoch, BootId self,
                       LeaderOptions options, bool predecessor_resigned,
                       Millis now)
    : zone_(std::move(zone)),
      epoch_(epoch),
      options_(options),
      loads_from_(predecessor_resigned ? now : now + options.order_lifetime),
      inherited_unloads_from_(
          predecessor_resigned ? now : now + options.longest_request),
      tokens_at_(now) {
  member_names_.insert(self);
  members_[self];
}

void ZoneLeader::SetEngines(const std::vector<EngineSpec>& engines) {
  std::set<UpstreamId> present;
  for (const EngineSpec& it : engines) {
    present.insert(it.id);
    engines_[it.id].spec = it;
  }
  std::erase_if(engines_,
                [&](const auto& it) { return present.count(it.first) == 0; });
  size_t erased = std::erase_if(loads_, [&](const auto& it) {
    return present.count(it.second.upstream) == 0;
  });
  sequence_ += erased > 0 ? 1 : 0;
}

void ZoneLeader::SetMembers(const std::set<BootId>& members, Millis now) {
  for (const BootId& it : members) {
    member_names_.insert(it);
    members_[it].removed = false;
  }
  for (auto& [boot, member] : members_) {
    if (members.count(boot) == 0 && !member.removed) {
      member.removed = true;
      member.removed_at = now;
      demand_.Forget(boot);
    }
  }
  std::erase_if(members_, [&](const auto& it) {
    bool gone = it.second.removed && Disregarded(it.second, now);
    if (gone) {
      member_names_.erase(it.first);
    }
    return gone;
  });
}

void ZoneLeader::OnReport(const BootId& from,
                          const schema::ResidencyReport& report, Millis now) {
  auto it = members_.find(from);
  if (it == members_.end() || report.epoch() != epoch_) {
    return;
  }
  MemberState& member = it->second;
  if (member.reported && report.sequence() < member.sequence) {
    return;
  }
  member.reported = true;
  member.closed = report.closed();
  member.sequence = report.sequence();
  member.busy.clear();
  for (const std::string& name : report.busy()) {
    member.busy.insert(IncarnationId(name));
  }
  for (const std::string& name : report.used()) {
    auto load = loads_.find(IncarnationId(name));
    if (load != loads_.end()) {
      load->second.last_used = now;
    }
  }
  if (collecting_) {
    for (const schema::Incarnation& held : report.held()) {
      held_before_.insert(IncarnationId(held.name()));
    }
    for (const std::string& name : report.revoked()) {
      revoked_before_.insert(IncarnationId(name));
    }
  }
}

void ZoneLeader::OnDemand(const BootId& from,
                          const std::vector<DemandReport>& reports,
                          Millis now) {
  demand_.OnDemand(from, reports, now);
}

void ZoneLeader::OnListing(const UpstreamId& upstream,
                           const std::vector<IncarnationId>& names,
                           Millis begun) {
  auto engine = engines_.find(upstream);
  if (engine == engines_.end()) {
    return;
  }
  engine->second.listed = true;
  std::set<IncarnationId> listed(names.begin(), names.end());
  bool changed = false;
  for (auto it = loads_.begin(); it != loads_.end();) {
    Load& load = it->second;
    bool mine = load.upstream == upstream;
    bool present = listed.count(it->first) != 0;
    if (mine && present && load.state == State::kUncertain) {
      load.state = State::kOffered;
      load.since = begun;
      load.last_used = begun;
      changed = true;
    }
    // An answer to an order that was on its way can be newer than the listing.
    bool settled = !load.order_open && load.state != State::kLoading &&
                   load.state != State::kUncertain && load.since < begun &&
                   load.last_order < begun;
    if (mine && !present && settled) {
      changed = true;
      it = loads_.erase(it);
      continue;
    }
    ++it;
  }
  for (const IncarnationId& name : names) {
    Load load;
    if (loads_.count(name) != 0 || !ParseName(name, &load.ref)) {
      continue;
    }
    load.upstream = upstream;
    load.state = State::kInherited;
    load.inherited = true;
    load.since = begun;
    load.last_used = begun;
    loads_[name] = load;
    if (!collecting_) {
      Revoke(name, &loads_[name], begun);  // A late load: nobody may use it.
    }
  }
  sequence_ += changed ? 1 : 0;
}

void ZoneLeader::OnOrderResult(uint64_t order, OrderResult result, Millis now) {
  auto open = orders_.find(order);
  if (open == orders_.end()) {
    return;
  }
  IncarnationId name = open->second;
  orders_.erase(open);
  auto it = loads_.find(name);
  if (it == loads_.end()) {
    return;
  }
  Load& load = it->second;
  load.order_open = false;
  if (load.state == State::kUnloading) {
    load.last_order = now;
    if (result == OrderResult::kDone) {
      loads_.erase(it);
      ++sequence_;
      ++counters_.evictions;
    }
    return;  // Otherwise ordered again; the name makes that harmless.
  }
  if (load.state != State::kLoading) {
    return;
  }
  AdapterVersionRef ref = load.ref;
  if (result == OrderResult::kDone) {
    load.state = State::kOffered;
    load.since = now;
    load.last_used = now;
    backoffs_.erase(ref);
    ++sequence_;
    ++counters_.loads;
    return;
  }
  ++counters_.load_failures;
  Backoff& backoff = backoffs_[ref];
  backoff.step = std::clamp(backoff.step * 2, options_.load_backoff,
                            options_.load_backoff_most);
  backoff.until = now + backoff.step;
  if (result == OrderResult::kUnknown) {
    load.state = State::kUncertain;
    load.since = now;
  } else {
    loads_.erase(it);
  }
}

bool ZoneLeader::Disregarded(const MemberState& member, Millis now) const {
  if (!member.removed) {
    return false;
  }
  bool ended = member.reported && member.closed && member.busy.empty();
  return ended || now - member.removed_at > options_.longest_request;
}

bool ZoneLeader::Acknowledged(const IncarnationId& name, const Load& load,
                              Millis now) const {
  if (load.inherited && now < inherited_unloads_from_) {
    return false;
  }
  for (const auto& [boot, member] : members_) {
    if (Disregarded(member, now)) {
      continue;
    }
    bool free = member.reported && member.sequence >= load.revoked_at &&
                member.busy.count(name) == 0;
    if (!free) {
      return false;
    }
  }
  return true;
}

void ZoneLeader::FinishCollecting(Millis now) {
  for (const auto& [boot, member] : members_) {
    if (!member.reported && !Disregarded(member, now)) {
      return;
    }
  }
  for (const auto& [id, engine] : engines_) {
    if (!engine.listed && engine.spec.reachable) {
      return;
    }
  }
  collecting_ = false;
  ++sequence_;
  for (auto& [name, load] : loads_) {
    if (load.state != State::kInherited) {
      continue;
    }
    bool usable =
        held_before_.count(name) != 0 && revoked_before_.count(name) == 0;
    if (usable) {
      load.state = State::kOffered;
      load.since = now;
    } else {
      Revoke(name, &load, now);
    }
  }
  held_before_.clear();
  revoked_before_.clear();
}

void ZoneLeader::Revoke(const IncarnationId& name, Load* load, Millis now) {
  (void)name;
  load->state = State::kRevoked;
  load->since = now;
  load->revoked_at = ++sequence_;
}

void ZoneLeader::ExpireUncertain(Millis now) {
  for (auto& [name, load] : loads_) {
    if (load.state == State::kUncertain &&
        now - load.since > options_.order_lifetime) {
      Revoke(name, &load, now);
    }
  }
}

Order ZoneLeader::MakeOrder(OrderKind kind, const IncarnationId& name,
                            const Load& load) {
  Order order{next_order_++, kind, load.upstream, name, load.ref, epoch_};
  orders_[order.id] = name;
  return order;
}

void ZoneLeader::OrderUnloads(Millis now, std::vector<Order>* orders) {
  for (auto& [name, load] : loads_) {
    if (load.state == State::kRevoked && Acknowledged(name, load, now)) {
      load.state = State::kUnloading;
      load.since = now;
      load.last_order = Millis();
    }
    bool due = load.state == State::kUnloading && !load.order_open &&
               (load.last_order == Millis() ||
                now - load.last_order > options_.unload_retry);
    if (!due) {
      continue;
    }
    BP_CHECK(Acknowledged(name, load, now) || load.last_order != Millis(),
             "nothing is unloaded while an instance may use it");
    load.order_open = true;
    orders->push_back(MakeOrder(OrderKind::kUnload, name, load));
  }
}

void ZoneLeader::RevokeLeaving(Millis now) {
  for (auto& [name, load] : loads_) {
    auto engine = engines_.find(load.upstream);
    bool leaving = engine != engines_.end() && engine->second.spec.leaving;
    if (leaving && load.state == State::kOffered) {
      Revoke(name, &load, now);
    }
  }
}

std::vector<Order> ZoneLeader::Tick(Millis now, const PoolOf& pool_of) {
  std::vector<Order> orders;
  if (collecting_) {
    FinishCollecting(now);
  }
  if (resigning_) {
    return orders;
  }
  ExpireUncertain(now);
  if (!collecting_) {
    RevokeLeaving(now);
  }
  OrderUnloads(now, &orders);
  OrderLoads(now, pool_of, &orders);
  return orders;
}

bool ZoneLeader::Quiet() const {
  bool waits = std::any_of(members_.begin(), members_.end(),
                           [](const auto& it) { return it.second.removed; });
  return orders_.empty() && !waits;
}

schema::ResidencyTable ZoneLeader::Table() const {
  schema::ResidencyTable table;
  table.set_zone(zone_.str());
  table.set_epoch(epoch_);
  table.set_sequence(sequence_);
  table.set_collecting(collecting_);
  table.set_queued_loads(queued_loads_);
  for (const auto& [name, load] : loads_) {
    schema::Incarnation* it = nullptr;
    if (load.state == State::kOffered) {
      it = table.add_offered();
    } else if (load.state == State::kRevoked ||
               load.state == State::kUnloading) {
      it = table.add_revoked();
    } else {
      continue;
    }
    it->set_name(name.str());
    it->set_upstream(load.upstream.str());
    it->set_adapter(load.ref.adapter.str());
    it->set_version(load.ref.version);
  }
  return table;
}

}  // namespace bilberrypitch
