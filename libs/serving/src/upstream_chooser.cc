// Cost model of the upstream choice. All costs are in milliseconds of expected
// time to the first event, or penalties in the same unit.
#include "serving/upstream_chooser.h"

#include <algorithm>
#include <cmath>
#include <string>
#include <string_view>

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
// Of an engine, for each multiple of the usual time by which it is slower.
// Decoding takes longer there, too.
constexpr double kSlowdownMs = 100;
// Of a slow engine, for each request beyond its concurrency limit.
constexpr double kOverLimitMs = 10;
// A plain upstream that has just turned a request away costs this many times
// more.
constexpr double kFullFactor = 4;
// A request goes to a plain upstream with a weight of its cost to the power of
// minus this. Shares by the inverse of the cost alone leave a slow upstream
// more than it takes well.
constexpr double kSpreadExponent = 3;
// Above these multiples of the least usual latency, latencies differ clearly. A
// usual one is the mean of at least eight requests; the other may be of a
// single one. Requests of plain services take 15 to 60 ms of work.
constexpr double kClearUsualRatio = 1.75;
constexpr double kClearLatencyRatio = 2.5;

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

// In [0, 1); the same for the same request, instance and upstream.
double DrawFor(uint64_t seed, std::string_view purpose) {
  constexpr uint64_t kParts = uint64_t{1} << 53;
  uint64_t hash = StableHash(std::to_string(seed), purpose);
  return static_cast<double>(hash % kParts) / static_cast<double>(kParts);
}

// 1 if the request is to find out whether a slow upstream has recovered.
double SlowdownFor(const UpstreamState& upstream, const ChoiceInput& input) {
  double slowdown = upstream.capacity.Slowdown(input.now);
  // Most upstreams are not slow; nothing is drawn for them.
  if (slowdown <= 1 || input.seed == 0) {
    return slowdown;
  }
  double draw = DrawFor(input.seed, upstream.entry.id.str());
  return upstream.capacity.ProbeDue(draw, input.now) ? 1 : slowdown;
}

// Zero for an engine that is not slow.
double SlowEngineCost(const UpstreamState& upstream, const ChoiceInput& input,
                      double slowdown) {
  if (slowdown <= 1) {
    return 0;
  }
  double limit = upstream.capacity.ConcurrencyLimit(upstream.entry.slots);
  double excess =
      static_cast<double>(upstream.TotalInFlight(input.now)) + 1 - limit;
  return kSlowdownMs * (slowdown - 1) + kOverLimitMs * std::max(0.0, excess);
}

double PromptCost(const UpstreamState& upstream, const ChoiceInput& input) {
  double per_token = PrefillMsPerToken(upstream);
  double tokens = static_cast<double>(
      upstream.TotalPendingPrefillTokens(input.now) +
      upstream.QueuedPrefillTokens(input.now) + input.prompt_tokens);
  double slowdown = SlowdownFor(upstream, input);
  return slowdown * per_token * tokens +
         kStepMsPerRequest *
             static_cast<double>(upstream.TotalInFlight(input.now)) +
         SlowEngineCost(upstream, input, slowdown);
}

// `default_latency_ms`: if no request has completed there.
double NonModelCost(const UpstreamState& upstream, const ChoiceInput& input,
                    double default_latency_ms) {
  double latency =
      upstream.latency_ms > 0 ? upstream.latency_ms : default_latency_ms;
  double slowdown = SlowdownFor(upstream, input);
  if (upstream.capacity.IsInEffect(input.now)) {
    double usual = upstream.capacity.UsualLatencyMsOr(default_latency_ms);
    latency = usual * slowdown *
              (1 + kFullFactor * upstream.capacity.Fullness(input.now));
  }
  auto busy = static_cast<double>(
      std::max<uint64_t>(upstream.ReportedLoad(), upstream.in_flight));
  double slots = upstream.capacity.ConcurrencyLimit(upstream.entry.slots);
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

bool LatenciesDifferClearly(const std::vector<UpstreamState*>& usable) {
  std::optional<double> least_ms;
  for (const UpstreamState* upstream : usable) {
    auto usual_ms = upstream->capacity.UsualLatencyMs();
    if (usual_ms) {
      least_ms = std::min(least_ms.value_or(*usual_ms), *usual_ms);
    }
  }
  return least_ms && std::any_of(usable.begin(), usable.end(), [&](auto* it) {
           double usual_ms = it->capacity.UsualLatencyMs().value_or(0);
           return usual_ms >= kClearUsualRatio * *least_ms ||
                  it->latency_ms >= kClearLatencyRatio * *least_ms;
         });
}

// Whether requests to these plain upstreams are spread.
bool IsSpread(const std::vector<UpstreamState*>& usable,
              const ChoiceInput& input) {
  bool in_effect = std::any_of(
      usable.begin(), usable.end(),
      [&](auto* upstream) { return upstream->capacity.IsInEffect(input.now); });
  return input.seed != 0 && (in_effect || LatenciesDifferClearly(usable));
}

// So that an upstream of which nothing is known gets its share.
double LeastLatencyMs(const std::vector<UpstreamState*>& usable) {
  double least_ms = kDefaultLatencyMs;
  for (const UpstreamState* upstream : usable) {
    if (upstream->latency_ms > 0) {
      least_ms = std::min(least_ms, upstream->latency_ms);
    }
  }
  return least_ms;
}

// Chooses at random, with weights by the slots and the costs, which are higher
// beyond the concurrency limits. `choices` is not empty.
const UpstreamChoice& SpreadChoice(const std::vector<UpstreamChoice>& choices,
                                   const ChoiceInput& input) {
  std::vector<double> sums;
  double sum = 0;
  for (const UpstreamChoice& choice : choices) {
    double slots = std::max<double>(1, choice.upstream->entry.slots);
    sum += slots * std::pow(std::max(1.0, choice.cost_ms), -kSpreadExponent);
    sums.push_back(sum);
  }
  double drawn = DrawFor(input.seed, "") * sum;
  auto chosen = std::upper_bound(sums.begin(), sums.end(), drawn);
  size_t index = std::min<size_t>(chosen - sums.begin(), choices.size() - 1);
  return choices[index];
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
  bool is_spread = without_model && IsSpread(usable, input);
  double default_latency_ms =
      is_spread ? LeastLatencyMs(usable) : kDefaultLatencyMs;
  std::vector<UpstreamChoice> plain_choices;
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
      cost.Add("response", NonModelCost(*upstream, input, default_latency_ms));
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
    if (is_spread) {
      plain_choices.push_back(choice);
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
  if (is_spread && best) {
    UpstreamChoice chosen = SpreadChoice(plain_choices, input);
    if (chosen.upstream != best->upstream) {
      chosen.margin_ms = 0;
      best = chosen;
    }
  }
  return best;
}

}  // namespace bilberrypitch
