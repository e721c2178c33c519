// Finds prompt parts that crash every upstream which begins a response to a
// request with them, whatever else the request holds, and quarantines them.
//
// A connection that breaks before the response has begun makes the shared parts
// of the request suspects; the suspicion becomes a crash of these parts if the
// upstream then turns out to have ended. A response that begins proves all
// parts of its request sound and clears their earlier crashes. So a part that
// crashes upstreams collects crashes, while a sound part that ran beside it is
// cleared by the next request that has it.
//
// A part is accused when its crashes since it was last seen to begin reach a
// limit, come from different requests, and other requests have begun meanwhile:
// upstreams that end for a common cause say nothing about a part. Before it is
// quarantined the other instances are asked whether they have seen it begin.
// A quarantine ends with its time, when a response with the part begins, or
// when one of its few probes does.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

#include "serving/crash_tracker.h"
#include "serving/request.h"

namespace bilberrypitch {

// Identifies a prompt part; equal in all requests that share the part.
enum class PartId : uint64_t {};

// The parts that other requests may share: all but the last.
std::vector<PartId> SharedParts(const std::vector<PromptPart>& parts);

// A request whose response had not begun when its upstream crashed.
struct PartCrash {
  CrashId id;
  uint64_t fingerprint = 0;  // Of the request.
  std::vector<PartId> parts;
};

// State machine without I/O. Its memory is bounded whatever parts callers name.
// Not thread-safe.
class PartCrashTracker {
 public:
  // A quarantine that no instance renews ends after this time.
  static constexpr Millis kQuarantineTime{10 * 60 * 1000};

  // Whether a request with these parts must not be sent.
  bool IsQuarantined(const std::vector<PartId>& parts, Millis now);
  // Whether the request may be sent as a probe, although a part of it is
  // quarantined. True a few times for each quarantine, and only at the instance
  // that declared it.
  bool TakeProbe(const std::vector<PartId>& parts, Millis now);

  // A response has begun. Returns the parts that were quarantined: the other
  // instances have to be told that they are sound.
  std::vector<PartId> OnBegun(const std::vector<PartId>& parts, Millis now);
  // Another instance has seen a response with the part begin at `begun_at`.
  // Returns whether this ends a quarantine: whether it was after the first of
  // the crashes that led to it.
  bool OnPeerBegun(PartId part, Millis begun_at, Millis now);
  // When this instance last saw or heard that a response with the part began;
  // empty if it did not, or a long time ago.
  std::optional<Millis> LastBegun(PartId part) const;

  // A connection broke before the response began.
  void OnConnectionBroken(const PartCrash& suspicion, Millis now);
  // An upstream ended or is unreachable. Returns the crashes that this
  // confirms, which the other instances have to be told.
  std::vector<PartCrash> OnUpstreamDown(const UpstreamId& upstream, Millis now);
  // Another instance reports a crash.
  void OnPeerCrash(const PartCrash& crash, Millis now);

  // Whether the crashes of the part reach the limit.
  bool ReachesLimit(PartId part, Millis now) const;
  // When the first crash was that is still counted; `now` if there is none.
  Millis FirstCrashAt(PartId part, Millis now) const;
  // Parts that reach the limit and of which this instance has reported a crash
  // since the last call.
  std::vector<PartId> TakeAccused(Millis now);

  // `declared_here`: this instance declares it; it may send the probes.
  void Quarantine(PartId part, bool declared_here, Millis now);
  // Returns whether the part was quarantined.
  bool EndQuarantine(PartId part);
  std::vector<PartId> Quarantined() const;

  size_t candidates() const { return candidates_.size(); }
  size_t known_sound() const { return recent_.size() + older_.size(); }

 private:
  struct Suspicion {
    PartCrash crash;
    Millis raised_at;
  };
  struct Crash {
    CrashId id;
    uint64_t fingerprint = 0;
    Millis at;
  };
  struct Candidate {
    std::vector<Crash> crashes;  // At most one for each start of an upstream.
    uint64_t begun_before = 0;   // Value of `begun_count_` at the first crash.
    bool reported_here = false;  // Since TakeAccused last returned it.
  };
  struct QuarantineState {
    Millis declared_at;
    Millis first_crash_at;
    bool declared_here = false;
    uint32_t probes = 0;
    Millis next_probe_at;
  };

  // Counts the crash for each part; returns those for which it is new.
  std::vector<PartId> AddCrash(const PartCrash& crash, bool reported_here,
                               Millis now);
  // Makes room for another candidate.
  void TrimCandidates(Millis now);
  void RememberBegun(PartId part, Millis at);

  std::vector<Suspicion> suspicions_;  // Open ones of this instance.
  std::map<PartId, Candidate> candidates_;
  std::map<PartId, QuarantineState> quarantined_;
  // When responses with a part last began. Entries move from `older_` to
  // `recent_` when they are used; `older_` is dropped when `recent_` is full.
  std::unordered_map<PartId, Millis> recent_;
  std::unordered_map<PartId, Millis> older_;
  uint64_t begun_count_ = 0;  // Responses that began at this instance.
};

}  // namespace bilberrypitch
