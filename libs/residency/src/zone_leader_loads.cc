// The leader's choice of loads: for whom, where, and what goes for them.
#include <algorithm>

#include "residency/zone_leader.h"

namespace bilberrypitch {

size_t ZoneLeader::loads_in_flight(Millis now) const {
  (void)now;
  return static_cast<size_t>(
      std::count_if(loads_.begin(), loads_.end(), [](const auto& it) {
        return it.second.state == State::kLoading ||
               it.second.state == State::kUncertain;
      }));
}

void ZoneLeader::RefillLoadTokens(Millis now) {
  load_tokens_ = std::min(
      1.0, load_tokens_ + options_.loads_per_s * (now - tokens_at_).seconds());
  tokens_at_ = now;
}

bool ZoneLeader::MayLoad(Millis now) const {
  return now >= loads_from_ && load_tokens_ >= 1.0 &&
         loads_in_flight(now) < options_.loads_in_flight;
}

const DemandTotal& ZoneLeader::DemandOf(const AdapterVersionRef& ref) const {
  static const DemandTotal none;
  auto it = totals_by_ref_.find(ref);
  return it == totals_by_ref_.end() ? none : it->second;
}

size_t ZoneLeader::SlotsUsed(const UpstreamId& upstream) const {
  return static_cast<size_t>(std::count_if(
      loads_.begin(), loads_.end(),
      [&](const auto& it) { return it.second.upstream == upstream; }));
}

size_t ZoneLeader::Replicas(const AdapterVersionRef& ref) const {
  return static_cast<size_t>(
      std::count_if(loads_.begin(), loads_.end(), [&](const auto& it) {
        State state = it.second.state;
        return it.second.ref == ref &&
               (state == State::kOffered || state == State::kLoading ||
                state == State::kUncertain || state == State::kInherited);
      }));
}

bool ZoneLeader::Holds(const UpstreamId& upstream,
                       const AdapterVersionRef& ref) const {
  return std::any_of(loads_.begin(), loads_.end(), [&](const auto& it) {
    return it.second.upstream == upstream && it.second.ref == ref;
  });
}

const ZoneLeader::Engine* ZoneLeader::ChooseEngine(const PoolId& pool,
                                                   const AdapterVersionRef& ref,
                                                   Millis now) const {
  (void)now;
  const Engine* best = nullptr;
  size_t best_free = 0;
  for (const auto& [id, engine] : engines_) {
    const EngineSpec& spec = engine.spec;
    if (spec.pool != pool || spec.leaving || !spec.reachable ||
        !engine.listed || Holds(id, ref)) {
      continue;
    }
    size_t used = SlotsUsed(id);
    size_t free = spec.adapter_slots > used ? spec.adapter_slots - used : 0;
    if (free > best_free) {
      best = &engine;
      best_free = free;
    }
  }
  return best;
}

size_t ZoneLeader::FreeingSlots(const PoolId& pool) const {
  return static_cast<size_t>(
      std::count_if(loads_.begin(), loads_.end(), [&](const auto& it) {
        auto engine = engines_.find(it.second.upstream);
        bool freeing = it.second.state == State::kRevoked ||
                       it.second.state == State::kUnloading;
        return freeing && engine != engines_.end() &&
               engine->second.spec.pool == pool;
      }));
}

bool ZoneLeader::FreeSlotByEviction(const PoolId& pool,
                                    const DemandTotal& demand, Millis now) {
  IncarnationId victim;
  double victim_score = 0;
  for (const auto& [name, load] : loads_) {
    auto engine = engines_.find(load.upstream);
    bool candidate =
        load.state == State::kOffered && engine != engines_.end() &&
        engine->second.spec.pool == pool && !engine->second.spec.leaving &&
        engine->second.spec.reachable && !Holds(load.upstream, demand.ref) &&
        (options_.plain_lru || now - load.since >= options_.minimum_residency);
    if (!candidate) {
      continue;
    }
    Millis idle = now - load.last_used;
    const DemandTotal& own = DemandOf(load.ref);
    bool is_idle = options_.plain_lru ||
                   (own.waiting == 0 && idle >= options_.idle_before_eviction);
    bool starving = demand.oldest_wait >= options_.starvation &&
                    own.oldest_wait < demand.oldest_wait;
    if (!is_idle && !starving) {
      continue;
    }
    // Idle ones first, the longest idle before others; then the least wanted.
    double score =
        is_idle ? 1e6 + idle.seconds() : 1.0 / (1.0 + own.requests_per_s);
    if (victim.empty() || score > victim_score) {
      victim = name;
      victim_score = score;
    }
  }
  if (victim.empty()) {
    return false;
  }
  Revoke(victim, &loads_[victim], now);
  return true;
}

void ZoneLeader::OrderLoads(Millis now, const PoolOf& pool_of,
                            std::vector<Order>* orders) {
  RefillLoadTokens(now);
  totals_ = demand_.Totals(now);
  totals_by_ref_.clear();
  for (const DemandTotal& it : totals_) {
    totals_by_ref_[it.ref] = it;
  }
  std::map<PoolId, size_t> queued;  // Loads that wait for a slot.
  queued_loads_ = 0;
  bool may_load = true;
  for (const DemandTotal& demand : totals_) {
    if (demand.waiting == 0) {
      continue;
    }
    PoolId pool = pool_of(demand.ref);
    auto backoff = backoffs_.find(demand.ref);
    bool waits = backoff != backoffs_.end() && backoff->second.until > now;
    if (pool.empty() || waits) {
      continue;
    }
    size_t batch = 1;
    for (const auto& [id, engine] : engines_) {
      if (engine.spec.pool == pool) batch = engine.spec.batch_slots;
    }
    if (Replicas(demand.ref) >= WantedReplicas(demand, batch)) {
      continue;
    }
    ++queued_loads_;
    if (!may_load) {
      continue;  // Only counted.
    }
    const Engine* engine = ChooseEngine(pool, demand.ref, now);
    if (engine == nullptr) {
      // One slot is being freed for each load that waits, no more than can
      // be loaded soon.
      bool enough = FreeingSlots(pool) > queued[pool] ||
                    queued[pool] >= options_.loads_in_flight;
      if (!collecting_ && !enough) {
        FreeSlotByEviction(pool, demand, now);
      }
      ++queued[pool];
      continue;
    }
    may_load = MayLoad(now);
    if (!may_load) {
      continue;
    }
    --queued_loads_;
    load_tokens_ -= 1;
    IncarnationId name = MakeName(demand.ref, epoch_, next_name_++);
    Load load;
    load.upstream = engine->spec.id;
    load.ref = demand.ref;
    load.since = now;
    load.order_open = true;
    loads_[name] = load;
    orders->push_back(MakeOrder(OrderKind::kLoad, name, load));
  }
}

}  // namespace bilberrypitch
