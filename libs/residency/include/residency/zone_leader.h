// The leader of one zone: orders loads and evictions on the zone's engines.
//
// No I/O: reports, listings and results of orders come in as events, orders
// and tables go out as values. Safety rests on three rules, not on time:
//   1. Every load gets a name that is never used again, so a late or repeated
//      order can touch only the load that it was meant for.
//   2. A name is unloaded only when every registered instance has acknowledged
//      its revocation and said that it has nothing in flight there.
//   3. A leader that follows another offers what it found only when every
//      registered instance has reported under the new epoch, and never what
//      any of them saw revoked. It unloads what it found only after the
//      longest request: an instance that was removed before the takeover may
//      have left one running.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/adapter_ref.h"
#include "base/strong.h"
#include "residency/load_policy.h"

namespace bilberrypitch {

namespace schema {
class ResidencyReport;
class ResidencyTable;
}  // namespace schema

struct EngineSpec {
  UpstreamId id;
  PoolId pool;
  size_t adapter_slots = 0;
  size_t batch_slots = 1;
  bool leaving = false;
  bool reachable = true;
};

enum class OrderKind : uint8_t { kLoad, kUnload };

struct Order {
  uint64_t id = 0;
  OrderKind kind = OrderKind::kLoad;
  UpstreamId upstream;
  IncarnationId name;
  AdapterVersionRef ref;
  uint64_t fence = 0;  // The epoch.
};

enum class OrderResult : uint8_t {
  kDone,     // Also: an unload of what is not loaded.
  kFailed,   // The engine answered that it did not do it.
  kNotSent,  // The engine can't have seen the order.
  kUnknown,  // The answer was lost.
};

struct LeaderOptions {
  Millis order_lifetime{10 * 1000};  // Longest time that an order can act.
  Millis longest_request{120 * 1000};
  Millis minimum_residency{2000};  // Not evicted sooner: no thrash.
  Millis idle_before_eviction{500};
  Millis starvation{1500};  // A wait that justifies evicting what is in use.
  Millis unload_retry{2000};
  Millis load_backoff{250};
  Millis load_backoff_most{15 * 1000};
  size_t loads_in_flight = 2;
  double loads_per_s = 1;
  // For comparison in experiments: the least recently used one goes, wanted
  // or not.
  bool plain_lru = false;
};

struct LeaderCounters {
  uint64_t loads = 0;
  uint64_t load_failures = 0;
  uint64_t evictions = 0;
  uint64_t evictions_blocked = 0;  // Victims passed over: a silent instance.
};

// Not thread-safe; its owner holds the lock of the zone's shard.
class ZoneLeader {
 public:
  using PoolOf = std::function<PoolId(const AdapterVersionRef&)>;

  // `predecessor_resigned`: the one before ended its orders, had no removed
  // instance to wait for, and said so.
  ZoneLeader(ZoneId zone, uint64_t epoch, BootId self, LeaderOptions options,
             bool predecessor_resigned, Millis now);

  void SetOptions(const LeaderOptions& options) { options_ = options; }
  void SetEngines(const std::vector<EngineSpec>& engines);
  // All registered instances of the fleet, read after the epoch was taken.
  void SetMembers(const std::set<BootId>& members, Millis now);
  void OnReport(const BootId& from, const schema::ResidencyReport& report,
                Millis now);
  void OnDemand(const BootId& from, const std::vector<DemandReport>& reports,
                Millis now);
  // What `upstream` says it has loaded, by a call begun at `begun`.
  void OnListing(const UpstreamId& upstream,
                 const std::vector<IncarnationId>& names, Millis begun);
  void OnOrderResult(uint64_t order, OrderResult result, Millis now);

  // Orders to send now. `pool_of` is empty for adapters that no longer exist.
  std::vector<Order> Tick(Millis now, const PoolOf& pool_of);
  schema::ResidencyTable Table() const;
  uint64_t sequence() const { return sequence_; }
  uint64_t epoch() const { return epoch_; }
  const ZoneId& zone() const { return zone_; }
  bool collecting() const { return collecting_; }
  // Members to which the table goes; none other may get it.
  const std::set<BootId>& members() const { return member_names_; }
  // No order is on its way and no removed instance is waited for: the
  // leadership can be resigned.
  bool Quiet() const;
  // Starts nothing more.
  void Resign() { resigning_ = true; }
  const LeaderCounters& counters() const { return counters_; }
  size_t loads_in_flight(Millis now) const;

  // The name for one load: `ADAPTER@VERSION~EPOCH.N`.
  static IncarnationId MakeName(const AdapterVersionRef& ref, uint64_t epoch,
                                uint64_t n);
  // False for names that no leader gave.
  static bool ParseName(const IncarnationId& name, AdapterVersionRef* ref);

 private:
  enum class State : uint8_t {
    kLoading,    // Ordered, no answer yet.
    kUncertain,  // The load's answer was lost.
    kOffered,
    kInherited,  // Found loaded at takeover, not yet judged.
    kRevoked,    // Waits for the acknowledgements.
    kUnloading,  // Every instance acknowledged.
  };
  struct Load {
    UpstreamId upstream;
    AdapterVersionRef ref;
    State state = State::kLoading;
    Millis since;  // When the state began.
    Millis last_used;
    uint64_t revoked_at = 0;  // Sequence of the table that revoked it.
    Millis last_order;        // For kUnloading.
    bool inherited = false;   // Loaded under an earlier epoch.
    bool order_open = false;
  };
  struct MemberState {
    bool reported = false;  // Under this epoch.
    bool closed = false;
    bool removed = false;  // Its registration is gone.
    Millis removed_at;
    uint64_t sequence = 0;
    std::set<IncarnationId> busy;
  };
  struct Engine {
    EngineSpec spec;
    bool listed = false;  // A listing came since takeover.
  };
  struct Backoff {
    Millis until;
    Millis step;
  };

  void FinishCollecting(Millis now);
  bool Disregarded(const MemberState& member, Millis now) const;
  bool Acknowledged(const IncarnationId& name, const Load& load,
                    Millis now) const;
  void Revoke(const IncarnationId& name, Load* load, Millis now);
  void ExpireUncertain(Millis now);
  void OrderUnloads(Millis now, std::vector<Order>* orders);
  void OrderLoads(Millis now, const PoolOf& pool_of,
                  std::vector<Order>* orders);
  void RevokeLeaving(Millis now);
  bool MayLoad(Millis now) const;
  const Engine* ChooseEngine(const PoolId& pool, const AdapterVersionRef& ref,
                             Millis now) const;
  bool FreeSlotByEviction(const PoolId& pool, const DemandTotal& demand,
                          Millis now);
  size_t SlotsUsed(const UpstreamId& upstream) const;
  size_t Replicas(const AdapterVersionRef& ref) const;
  bool Holds(const UpstreamId& upstream, const AdapterVersionRef& ref) const;
  const DemandTotal& DemandOf(const AdapterVersionRef& ref) const;
  size_t FreeingSlots(const PoolId& pool) const;
  void RefillLoadTokens(Millis now);
  Order MakeOrder(OrderKind kind, const IncarnationId& name, const Load& load);

  const ZoneId zone_;
  const uint64_t epoch_;
  LeaderOptions options_;
  bool collecting_ = true;
  bool resigning_ = false;
  uint64_t sequence_ = 1;
  uint64_t next_name_ = 1;
  uint64_t next_order_ = 1;
  Millis loads_from_;  // No load before: a predecessor's may be on their way.
  Millis inherited_unloads_from_;
  double load_tokens_ = 1;
  Millis tokens_at_;
  std::map<UpstreamId, Engine> engines_;
  std::map<IncarnationId, Load> loads_;
  std::map<uint64_t, IncarnationId> orders_;  // Open orders.
  std::map<BootId, MemberState> members_;
  std::set<BootId> member_names_;
  // What members said at takeover, about names of earlier epochs.
  std::set<IncarnationId> held_before_;
  std::set<IncarnationId> revoked_before_;
  DemandTable demand_;
  std::vector<DemandTotal> totals_;  // As of the last tick; longest wait first.
  std::map<AdapterVersionRef, DemandTotal> totals_by_ref_;
  uint32_t queued_loads_ = 0;  // As of the last tick.
  std::map<AdapterVersionRef, Backoff> backoffs_;
  LeaderCounters counters_;
};

}  // namespace bilberrypitch
