// The known upstreams, and what this instance has observed of each: load,
// latency, failures and the load that other instances cause.
//
// If an entry is missing just after the store was unavailable, the upstream is
// kept for some time: its lease may have expired only because it could not be
// renewed, and the entry may return.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "serving/capacity_estimate.h"
#include "serving/cold_period.h"
#include "serving/connection_trust.h"
#include "serving/request.h"
#include "serving/store_record.h"
#include "serving/upstream_entry.h"
#include "serving/upstream_membership.h"
#include "serving/zone_evacuations.h"

namespace bilberrypitch {

// State of one upstream. `entry` comes from the store, everything else is
// observed by this instance or reported to it.
struct UpstreamState {
  UpstreamEntry entry;
  const ZoneEvacuations* evacuations = nullptr;  // Null: none. Not owned.
  // Once it is gone, it is kept while requests are open.
  UpstreamMembership membership;
  Millis known_since;  // When this instance first saw this start of it.

  // Load that another instance causes, as it last reported.
  struct PeerLoad {
    uint32_t in_flight = 0;
    int64_t pending_prefill_tokens = 0;
    Millis received_at;
  };

  uint32_t in_flight = 0;  // Attempts of this instance.
  // Requests under which a connection broke before and that now run on this
  // upstream or wait for it.
  uint32_t suspect_requests = 0;
  // Prompt tokens of this instance's attempts without a first event.
  int64_t pending_prefill_tokens = 0;
  UpstreamLoadReport load_report;  // Its last report, over all instances.
  Millis load_report_at;
  uint32_t started_since_report = 0;    // Attempts of this instance.
  double first_event_ms_per_token = 0;  // Smoothed; 0: not measured yet.
  double latency_ms = 0;                // Smoothed; services without models.
  CapacityEstimate capacity;            // What it can handle now.
  double failure_rate = 0;              // Smoothed, 0 to 1.
  uint32_t connect_failures = 0;        // Consecutive.
  Millis backoff_until;                 // After connect failures.
  int idle_timeout_s = 0;               // Of its idle connections.
  ConnectionTrust connection_trust;
  // Whether what it sends can be told from a piece of another response, by its
  // latest answer of the kind; empty: it has sent none.
  std::optional<bool> plain_bodies_are_framed;
  std::optional<bool> events_in_sequence;
  std::map<MachineId, PeerLoad> peer_loads;
  // Prompt tokens in the owner's prefill queue, as it last reported.
  int64_t queued_prefill_tokens = 0;
  Millis queued_prefill_tokens_at;
  // Until then, the owner's report that no adapter slot is free is used.
  Millis slots_full_until;

  // Requests a second that it takes from all instances together, as it states
  // (empty: it states no limit), and those that are sent while it is cold
  // (empty: it is warm).
  std::optional<double> stated_limit_per_s;
  std::optional<double> cold_limit_per_s;
  // The lower of both; empty: there is none.
  std::optional<double> rate_limit_per_s;
  ColdPeriod cold_period;
  Millis rate_limit_heard_at;  // When the latest such statement arrived.
  Millis rate_limited_until;   // When a permit is free, as last told.

  // Rejections a second, over all instances, at which it fails, as it states;
  // empty: it states none.
  std::optional<double> bearable_rejections_per_s;
  Millis brittle_heard_at;  // When the latest such statement arrived.
  // After a rejection of a brittle upstream.
  Millis rejected_until;

  // Whether a request may be sent to it although it can't bear many rejections:
  // it has a free slot, as far as this instance knows, and has not turned one
  // away just before.
  bool HasRoomIfBrittle(Millis now) const;
  // Requests there by its own last report, and those sent since.
  uint64_t ReportedLoad() const;
  // Sums over this instance and the recent reports of its peers.
  uint64_t TotalInFlight(Millis now) const;
  int64_t TotalPendingPrefillTokens(Millis now) const;
  // The owner's report if it is recent, otherwise 0.
  int64_t QueuedPrefillTokens(Millis now) const;
  bool IsCold() const { return cold_limit_per_s.has_value(); }
  bool IsZoneEvacuated() const {
    return evacuations != nullptr && evacuations->IsEvacuated(entry.zone);
  }
  // Whether it takes new requests, wherever it is.
  bool IsServing(Millis now) const { return membership.IsServing(now); }
  // Whether new requests may be sent to it.
  bool IsUsable(Millis now) const {
    return IsServing(now) && !IsZoneEvacuated();
  }
};

// Owns the state of the upstreams. Not thread-safe.
class UpstreamRegistry {
 public:
  struct Hooks {
    // An upstream is new or restarted: what it holds is unknown.
    std::function<void(const UpstreamState&)> on_started;
    // It leaves or is gone: no new requests may be sent to it.
    std::function<void(const UpstreamId&)> on_unavailable;
    // The load that this instance causes on it has changed.
    std::function<void(const UpstreamId&)> on_local_load_changed;
  };

  // `evacuations` is not owned and must outlive the registry; null: no zone is
  // ever evacuated.
  explicit UpstreamRegistry(Hooks hooks,
                            const ZoneEvacuations* evacuations = nullptr)
      : hooks_(std::move(hooks)), evacuations_(evacuations) {}

  // Applies a record of the store. `return_deadline`: until then, a
  // removed entry may return; zero: it does not.
  void OnRecord(const UpstreamRecord& record, Millis now,
                Millis return_deadline);
  // A full read of the store found these upstreams; all others are missing.
  void OnFullRead(const std::vector<UpstreamId>& found, Millis now,
                  Millis return_deadline);
  // Removes the missing upstreams that have not returned in time. Returns when
  // to call again; zero: not before the next record.
  Millis ExpireMissing(Millis now);
  // Until when the missing upstreams may return has been found out.
  void SetReturnDeadline(Millis return_deadline);

  // A response of the upstream to a call that was sent at `sent_at` states that
  // it leaves. Returns whether that is new.
  bool OnLeavingResponse(const UpstreamId& id, Millis sent_at, Millis now);
  // Another instance has seen that this start of the upstream leaves.
  void OnLeavingNews(const UpstreamId& id, int64_t started_ms, Millis now);

  // Returns null if the upstream is not known. The pointer is valid until the
  // upstream is removed and its last attempt has ended.
  UpstreamState* Find(const UpstreamId& id);
  std::vector<UpstreamState*> UsableOf(const ServiceId& service, Millis now);
  const std::map<UpstreamId, std::unique_ptr<UpstreamState>>& all() const {
    return upstreams_;
  }

  void OnPeerLoad(const UpstreamId& id, const MachineId& peer,
                  const UpstreamState::PeerLoad& load);
  // Bytes that nobody had asked for arrived from this address.
  void OnUnsolicitedBytes(const std::string& address, Millis now);
  // Track an attempt of this instance from start to end.
  void OnAttemptStarted(UpstreamState* upstream, int64_t prompt_tokens);
  void OnFirstEvent(UpstreamState* upstream, int64_t prompt_tokens,
                    Millis elapsed, Millis now);
  void OnAttemptEnded(UpstreamState* upstream, int64_t pending_tokens);
  // Moves the count of a suspect request from upstream `*counted_at` to `to`
  // and stores `to` there; an empty id means that it is counted nowhere.
  void MoveSuspectRequest(UpstreamId* counted_at, const UpstreamId& to);
  void OnLoadReport(UpstreamState* upstream, const UpstreamLoadReport& report,
                    Millis now);
  void OnConnectFailure(UpstreamState* upstream, Millis now);
  // A response to a request that was sent at `sent_at` states this limit, or
  // none. Returns whether the limit has changed.
  bool OnRateLimit(UpstreamState* upstream, std::optional<double> limit_per_s,
                   Millis sent_at, Millis now);
  // The upstream is cold and takes so many requests a second, or is warm.
  // Returns whether it has become the one or the other.
  static bool SetColdLimit(UpstreamState* upstream,
                           std::optional<double> limit_per_s);
  // A response to a request that was sent at `sent_at`, or another instance,
  // states this number of rejections, or none. Returns whether it has changed.
  bool OnBrittle(UpstreamState* upstream,
                 std::optional<double> rejections_per_s, Millis sent_at,
                 Millis now);
  // It turned a request away for want of room. `instances`: that may do the
  // same.
  void OnRejection(UpstreamState* upstream, size_t instances, Millis now);
  // A response arrived (`failed` if it reports an upstream failure) or broke
  // off. `elapsed`: empty if it was not run.
  void OnAttemptResult(UpstreamState* upstream, bool failed,
                       std::optional<Millis> elapsed);

 private:
  // A start of an upstream that is known to leave.
  struct LeavingStart {
    int64_t started_ms = 0;
    Millis at;
  };

  bool SetLeaving(UpstreamState* upstream, Millis now);
  // Whether this start of the upstream was known to leave before its entry
  // was removed and came back.
  bool IsKnownToLeave(const UpstreamEntry& entry) const;
  void Remove(UpstreamState* upstream, Millis now, Millis return_deadline);
  void OnGone(const UpstreamState& upstream);
  // Erases upstreams that are gone and have no open attempts.
  void EraseGone();

  const Hooks hooks_;
  const ZoneEvacuations* const evacuations_;
  std::map<UpstreamId, std::unique_ptr<UpstreamState>> upstreams_;
  std::map<UpstreamId, LeavingStart> leaving_starts_;
};

}  // namespace bilberrypitch
