// What this instance may send to which upstream, for the tables of all zones.
//
// A request may begin on an incarnation only while a table offers it. The
// count in flight and the table are under one lock, so that a report of "not
// busy" and the refusal of new requests can't be torn apart by a pause: a
// paused process is silent, and a silent one blocks the eviction.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "base/adapter_ref.h"
#include "base/strong.h"

namespace bilberrypitch {

namespace schema {
class Incarnation;
class ResidencyReport;
class ResidencyTable;
}  // namespace schema

// Where a request for an adapter version may run now.
struct ResidencyCandidate {
  IncarnationId name;  // What the upstream calls this load of the adapter.
  UpstreamId upstream;
  ZoneId zone;
};

enum class TableVerdict : uint8_t {
  kApplied,
  kKnown,  // Not newer than what was applied.
  kStale,  // Of a leader that was replaced: refused.
};

// Not thread-safe; its owner holds the lock of the shard.
class ResidencyHolder {
 public:
  // Tables of an epoch below `epoch` are refused. Set from the store after
  // this instance was registered and before it applies any table.
  void SetMinimumEpoch(const ZoneId& zone, uint64_t epoch);
  TableVerdict OnTable(const schema::ResidencyTable& table);

  std::vector<ResidencyCandidate> Candidates(
      const AdapterVersionRef& ref) const;
  // Counts a request in flight. False when the name is not offered any more;
  // then nothing may be sent.
  bool Begin(const IncarnationId& name);
  // The request has ended, whatever its outcome.
  void End(const IncarnationId& name);
  // The upstream does not know the name (it restarted cold): not offered here
  // until a table offers a new one.
  void Withdraw(const IncarnationId& name);
  // Nothing begins any more; the last reports say so.
  void Close() { closed_ = true; }

  // The answer to the newest table of `zone`. Clears the marks of use.
  schema::ResidencyReport MakeReport(const ZoneId& zone);
  std::vector<ZoneId> zones() const;
  uint64_t epoch(const ZoneId& zone) const;
  size_t offered_count() const { return by_ref_.size(); }

 private:
  struct Held {
    UpstreamId upstream;
    AdapterVersionRef ref;
    ZoneId zone;
    bool offered = false;
    bool withdrawn = false;  // Offered by the table, but unknown upstream.
    bool used = false;
    int in_flight = 0;
  };
  struct ZoneState {
    uint64_t minimum_epoch = 0;
    uint64_t epoch = 0;
    uint64_t sequence = 0;
    // Names that were revoked and may still be loaded. Invariant: none of
    // them is ever offered again.
    std::set<IncarnationId> revoked;
  };

  void Offer(const ZoneId& zone, const schema::Incarnation& it);
  void Revoke(const IncarnationId& name, ZoneState* state);
  void Unindex(const IncarnationId& name, const Held& held);

  std::map<ZoneId, ZoneState> zones_;
  std::map<IncarnationId, Held> held_;
  std::map<AdapterVersionRef, std::vector<IncarnationId>> by_ref_;  // Offered.
  bool closed_ = false;
};

}  // namespace bilberrypitch
