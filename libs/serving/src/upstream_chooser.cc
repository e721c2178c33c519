// Cost model of the upstream choice. All costs are in milliseconds of expected
// time to the first event, or penalties in the same unit.
#include "serving/upstream_chooser.h"

#include <algorithm>

#include "base/hash.h"

namespace bilberrypitch {
namespace {

// Until an upstream has been measured.
constexpr double kDefaultPrefillMsPerToken = 0.08;
constexpr double kDefaultLatencyMs = 40;
// Load of an adapter that the engine does not hold.
constexpr double kAdapterLoadMs = 280;
// For each engine that precedes it in the adapter's order, if the adapter has
// to be loaded.
constexpr double kPerRankMs = 90;
// For loading a further copy, which takes up a slot and a load that other
// adapters need.
constexpr double kExtraCopyMs = 60;
// Deducted if the engine was already asked to load the adapter for this
// request.
constexpr double kLoadRequestedMs = 120;
// The owner recently reported that no adapter slot is free.
constexpr double kSlotsFullMs = 450;
constexpr double kOtherZoneMs = 6;
constexpr double kBackoffMs = 3000;
constexpr double kAlreadyTriedMs = 20000;
constexpr double kNoOtherUpstreamMs = 1e9;
// For loading an adapter elsewhere because the engine that holds it has a rate
// limit: other adapters need the slot and the load.
constexpr double kCopyForLimitMs = 300;
constexpr double kStepMsPerRequest = 0.6;
// For each other suspect request on the upstream, if this request is suspect
// too. Keeps requests under which a connection broke apart from each other,
// since one of them may crash the next upstream as well.
constexpr double kSuspectRequestMs = 1500;
// Share of the event gap available for prefill; the rest is for decoding.
constexpr double kPrefillShare = 0.85;
constexpr double kFailureMs = 2500;  // Multiplied by the failure rate.

// Adds up a cost and keeps its parts if they are asked for.
class CostSum {
 public:
  // `parts` may be null. Not owned.
  explicit CostSum(std::vector<CostPart>* parts) : parts_(parts) {}

  void Add(const char* name, double ms) {
    total_ms_ += ms;
    if (parts_ != nullptr && ms != 0) {
      parts_->push_back({name, ms});
    }
  }
  double total_ms() const { return total_ms_; }

 private:
  std::vector<CostPart>* const parts_;
  double total_ms_ = 0;
};

double PrefillMsPerToken(const UpstreamState& upstream) {
  return upstream.first_event_ms_per_token > 0
             ? upstream.first_event_ms_per_token
             : kDefaultPrefillMsPerToken;
}

double PromptCost(const UpstreamState& upstream, const ChoiceInput& input) {
  double per_token = PrefillMsPerToken(upstream);
  double tokens = static_cast<double>(
      upstream.TotalPendingPrefillTokens(input.now) +
      upstream.QueuedPrefillTokens(input.now) + input.prompt_tokens);
  return per_token * tokens +
         kStepMsPerRequest * upstream.TotalInFlight(input.now);
}

double NonModelCost(const UpstreamState& upstream) {
  double latency =
      upstream.latency_ms > 0 ? upstream.latency_ms : kDefaultLatencyMs;
  double reported = upstream.load_report.running +
                    upstream.load_report.waiting +
                    upstream.started_since_report;
  double busy = std::max<double>(reported, upstream.in_flight);
  double slots = std::max<double>(1, upstream.entry.slots);
  double overload = std::max(0.0, busy + 1 - slots) / slots;
  return latency * (1 + overload) + busy;
}

void AddCommonCost(const UpstreamState& upstream, const ChoiceInput& input,
                   CostSum* cost) {
  cost->Add("failures", kFailureMs * upstream.failure_rate);
  cost->Add("other_zone", upstream.entry.zone == input.zone ? 0 : kOtherZoneMs);
  cost->Add("backoff", input.now < upstream.backoff_until ? kBackoffMs : 0);
  cost->Add("suspects",
            input.suspect ? kSuspectRequestMs * upstream.suspect_requests : 0);
  if (upstream.rate_limit_per_s && upstream.entry.id != input.permit) {
    Millis known_wait = upstream.rate_limited_until - input.now;
    cost->Add("permit", std::max(static_cast<double>(known_wait.count()),
                                 input.permit_wait_ms));
  }
  bool tried = std::find(input.tried.begin(), input.tried.end(),
                         upstream.entry.id) != input.tried.end();
  cost->Add("tried", tried ? kAlreadyTriedMs : 0);
}

// Returns the rank of each candidate in the adapter's own order.
std::vector<size_t> RanksFor(const std::vector<UpstreamState*>& usable,
                             const std::string& name) {
  std::vector<std::pair<uint64_t, size_t>> hashes;
  for (size_t i = 0; i < usable.size(); ++i) {
    hashes.emplace_back(StableHash(name, usable[i]->entry.id.str()), i);
  }
  std::sort(hashes.rbegin(), hashes.rend());
  std::vector<size_t> ranks(usable.size());
  for (size_t i = 0; i < hashes.size(); ++i) {
    ranks[hashes[i].second] = i;
  }
  return ranks;
}

}  // namespace

bool CanStartPrefill(const UpstreamState& engine, int64_t prompt_tokens,
                     Millis max_event_gap, Millis now) {
  int64_t pending = engine.TotalPendingPrefillTokens(now);
  if (max_event_gap == Millis(0) || pending == 0) {
    return true;
  }
  auto tokens = static_cast<double>(pending + prompt_tokens);
  auto bound = kPrefillShare * static_cast<double>(max_event_gap.count());
  return PrefillMsPerToken(engine) * tokens <= bound;
}

std::optional<UpstreamChoice> ChooseUpstream(
    const std::vector<UpstreamState*>& usable, const ResidencyView& residency,
    const ChoiceInput& input, std::vector<UpstreamCost>* costs) {
  bool without_model = input.model.model.empty();
  std::vector<size_t> ranks;
  if (!without_model) {
    ranks = RanksFor(usable, ToString(input.model));
  }
  bool held_elsewhere =
      std::any_of(usable.begin(), usable.end(), [&](auto* upstream) {
        return !without_model &&
               residency.Holds(upstream->entry.id, input.model,
                               input.minimum_version, input.now);
      });
  std::optional<UpstreamChoice> best;
  double next_best_ms = kNoOtherUpstreamMs;
  auto cost_of_change = [](const UpstreamChoice& choice) {
    return choice.cost_ms + (choice.resident ? 0 : kCopyForLimitMs);
  };
  for (size_t i = 0; i < usable.size(); ++i) {
    UpstreamState* upstream = usable[i];
    UpstreamChoice choice;
    choice.upstream = upstream;
    UpstreamCost* explained = nullptr;
    if (costs != nullptr) {
      explained = &costs->emplace_back();
      explained->upstream = upstream;
    }
    CostSum cost(explained != nullptr ? &explained->parts : nullptr);
    AddCommonCost(*upstream, input, &cost);
    if (without_model) {
      cost.Add("response", NonModelCost(*upstream));
    } else {
      if (!residency.HoldsBaseModel(upstream->entry.id, input.model.model,
                                    input.now)) {
        if (explained != nullptr) {
          explained->holds_base_model = false;
          explained->resident = false;
          explained->parts.clear();
        }
        continue;
      }
      cost.Add("prompt", PromptCost(*upstream, input));
      choice.resident = residency.Holds(upstream->entry.id, input.model,
                                        input.minimum_version, input.now);
      if (!choice.resident) {
        cost.Add("adapter_load",
                 kAdapterLoadMs + kPerRankMs * static_cast<double>(ranks[i]));
        cost.Add("slots_full",
                 input.now < upstream->slots_full_until ? kSlotsFullMs : 0);
        cost.Add("extra_copy", held_elsewhere ? kExtraCopyMs : 0);
        bool load_requested =
            input.load_requested_at != nullptr &&
            input.load_requested_at->count(upstream->entry.id) > 0;
        cost.Add("load_requested", load_requested ? -kLoadRequestedMs : 0);
      }
    }
    choice.cost_ms = cost.total_ms();
    if (explained != nullptr) {
      explained->resident = choice.resident;
      explained->cost_ms = choice.cost_ms;
    }
    if (!best || choice.cost_ms < best->cost_ms) {
      next_best_ms =
          best ? std::min(next_best_ms, cost_of_change(*best)) : next_best_ms;
      best = choice;
    } else {
      next_best_ms = std::min(next_best_ms, cost_of_change(choice));
    }
  }
  if (best) {
    best->margin_ms = next_best_ms - best->cost_ms;
  }
  return best;
}

}  // namespace bilberrypitch
