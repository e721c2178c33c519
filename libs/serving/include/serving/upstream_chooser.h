// Chooses the upstream for a request: the one with the lowest expected time to
// the first event, or, for a plain service whose upstreams differ in speed, one
// at random with weights by these times.
//
// The cost model is made for far more adapters than adapter slots, a few of
// them in much higher demand than the rest. Each adapter has its own order of
// engines (rendezvous hashing), so its requests find the copies and the cached
// prompts that earlier ones left. A request moves further along that order when
// the engines before are busier by more than the cost of a load.
#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <vector>

#include "serving/residency_view.h"
#include "serving/upstream_registry.h"

namespace bilberrypitch {

// What ChooseUpstream needs to know about the request and this instance.
struct ChoiceInput {
  ModelRef model;  // Empty for services without models.
  int64_t minimum_version = 0;
  int64_t prompt_tokens = 0;
  ZoneId zone;  // Of this instance.
  Millis now;
  bool suspect = false;  // A connection broke under this request before.
  // Expected wait for a permit at an upstream with a rate limit.
  double permit_wait_ms = 0;
  UpstreamId permit;  // An upstream for which it has a permit.
  // Engines asked to load the adapter for this request; null: none. Not owned.
  const std::set<UpstreamId>* load_requested_at = nullptr;
  // Upstreams that have already rejected or failed this request.
  std::vector<UpstreamId> tried;
  // Differs between requests and instances, so that those which know the same
  // of the upstreams don't all choose the same one. 0: the cheapest is chosen.
  uint64_t seed = 0;
};

struct UpstreamChoice {
  UpstreamState* upstream = nullptr;  // Not owned.
  bool resident = true;               // The adapter is assumed to be loaded.
  double cost_ms = 0;                 // Expected time to the first event.
  // How much more the next best upstream costs; large if there is none, zero if
  // the choice was drawn at random.
  double margin_ms = 0;
};

// A part of a candidate's cost, in milliseconds.
struct CostPart {
  const char* name = "";
  double ms = 0;
};

// What ChooseUpstream found out about one of the usable upstreams.
struct UpstreamCost {
  const UpstreamState* upstream = nullptr;  // Not owned.
  bool holds_base_model = true;             // If false, it has no cost.
  bool resident = true;                     // The adapter is loaded there.
  double cost_ms = 0;
  std::vector<CostPart> parts;  // Their sum is `cost_ms`; none of them is 0.
};

// Returns nothing if no upstream can take the request. An engine without the
// base model is never chosen; an upstream that failed this request is chosen
// only if no other is left. `costs`: receives one entry for each of `usable`,
// in their order; null: not needed.
std::optional<UpstreamChoice> ChooseUpstream(
    const std::vector<UpstreamState*>& usable, const ResidencyView& residency,
    const ChoiceInput& input, std::vector<UpstreamCost>* costs = nullptr);

// Whether the prompt may be sent to the engine now. The engine interleaves
// prefill with the decoding of its running streams, so the pending prefill work
// is kept below what it completes within `max_event_gap` (zero: no bound). If
// no prefill is pending, any prompt may be sent.
bool CanStartPrefill(const UpstreamState& engine, int64_t prompt_tokens,
                     Millis max_event_gap, Millis now);

}  // namespace bilberrypitch
