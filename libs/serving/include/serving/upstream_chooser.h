// Where a request goes.
//
// Pattern answered: far more adapters than places, a few of them wanted far
// more than the rest. Each adapter has an order of engines of its own
// (rendezvous hashing), so that it meets the copies and the cached prompts
// that it left; it moves on along that order when the engines before are
// busier by more than a load costs. A request is costed by the time to its
// first event.
#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <vector>

#include "serving/residency_view.h"
#include "serving/upstream_registry.h"

namespace bilberrypitch {

struct ChoiceInput {
  ModelRef model;  // Empty on plain services.
  int64_t minimum_version = 0;
  int64_t prompt_tokens = 0;
  ZoneId zone;  // Of this instance.
  Millis now;
  bool suspect = false;  // A connection broke under it before.
  // Engines that may be loading the adapter for this request; null: none.
  const std::set<UpstreamId>* load_requested_at = nullptr;
  // Upstreams that refused or failed this request already.
  std::vector<UpstreamId> tried;
};

struct UpstreamChoice {
  UpstreamState* upstream = nullptr;
  bool resident = true;  // The adapter is believed to be there.
  double cost_ms = 0;    // Expected time to the first event.
};

// None when no upstream may take it. An engine without the base model is not
// chosen, one that failed this request only when no other is left.
std::optional<UpstreamChoice> ChooseUpstream(
    const std::vector<UpstreamState*>& usable, const ResidencyView& residency,
    const ChoiceInput& facts);

// Whether the engine may be given the prompt now. It reads prompts between the
// tokens of the streams that run there, so what it has yet to read is kept
// below what it reads in `longest_pause` (zero: no bound).
bool CanStartPrefill(const UpstreamState& engine, int64_t prompt_tokens,
                     Millis longest_pause, Millis now);

}  // namespace bilberrypitch
