// Cost of each upstream for one request.
#include "serving/upstream_chooser.h"

#include <algorithm>

#include "base/hash.h"

namespace bilberrypitch {
namespace {

// Before anything was seen of an engine.
constexpr double kFirstGuessMsPerToken = 0.08;
constexpr double kFirstGuessLatencyMs = 40;
// An adapter that is not there.
constexpr double kLoadMs = 280;
// For each engine before it in the adapter's order, when it must be loaded.
constexpr double kFartherMs = 90;
// Against a second copy: it takes a place and a load that others need.
constexpr double kSecondCopyMs = 60;
// It was asked to load the adapter for this request.
constexpr double kWantedMs = 120;
// Its owner has just said that all places are in use.
constexpr double kFullMs = 450;
constexpr double kOtherZoneMs = 6;
constexpr double kAvoidedMs = 3000;
constexpr double kTriedMs = 20000;
constexpr double kStepMsPerRun = 0.6;
// A request under which a connection broke keeps away from others like it: one
// of them may crash the next upstream too.
constexpr double kSuspectTogetherMs = 1500;
// Of the longest pause; the rest is for the tokens themselves.
constexpr double kReadingPart = 0.85;
constexpr double kFailureMs = 2500;  // Times the share of failures.

double ReadingMsPerToken(const UpstreamState& it) {
  return it.first_event_ms_per_token > 0 ? it.first_event_ms_per_token
                                         : kFirstGuessMsPerToken;
}

double PromptCost(const UpstreamState& it, const ChoiceInput& facts) {
  double per_token = ReadingMsPerToken(it);
  double tokens = static_cast<double>(it.TotalPendingPrefillTokens(facts.now) +
                                      it.QueuedPrefillTokens(facts.now) +
                                      facts.prompt_tokens);
  return per_token * tokens + kStepMsPerRun * it.TotalInFlight(facts.now);
}

double PlainCost(const UpstreamState& it) {
  double latency = it.latency_ms > 0 ? it.latency_ms : kFirstGuessLatencyMs;
  double reported =
      it.load_report.running + it.load_report.waiting + it.started_since_report;
  double busy = std::max<double>(reported, it.in_flight);
  double slots = std::max<double>(1, it.entry.slots);
  double full = std::max(0.0, busy + 1 - slots) / slots;
  return latency * (1 + full) + busy;
}

double CommonCost(const UpstreamState& it, const ChoiceInput& facts) {
  double cost = kFailureMs * it.failure_rate;
  cost += it.entry.zone == facts.zone ? 0 : kOtherZoneMs;
  cost += facts.now < it.backoff_until ? kAvoidedMs : 0;
  cost += facts.suspect ? kSuspectTogetherMs * it.suspect_requests : 0;
  bool tried = std::find(facts.tried.begin(), facts.tried.end(), it.entry.id) !=
               facts.tried.end();
  return cost + (tried ? kTriedMs : 0);
}

// Positions of the candidates in the adapter's own order.
std::vector<size_t> OrderFor(const std::vector<UpstreamState*>& usable,
                             const std::string& name) {
  std::vector<std::pair<uint64_t, size_t>> weights;
  for (size_t i = 0; i < usable.size(); ++i) {
    weights.emplace_back(StableHash(name, usable[i]->entry.id.str()), i);
  }
  std::sort(weights.rbegin(), weights.rend());
  std::vector<size_t> position(usable.size());
  for (size_t i = 0; i < weights.size(); ++i) {
    position[weights[i].second] = i;
  }
  return position;
}

}  // namespace

bool CanStartPrefill(const UpstreamState& engine, int64_t prompt_tokens,
                     Millis longest_pause, Millis now) {
  int64_t unread = engine.TotalPendingPrefillTokens(now);
  if (longest_pause == Millis(0) || unread == 0) {
    return true;
  }
  auto tokens = static_cast<double>(unread + prompt_tokens);
  auto bound = kReadingPart * static_cast<double>(longest_pause.count());
  return ReadingMsPerToken(engine) * tokens <= bound;
}

std::optional<UpstreamChoice> ChooseUpstream(
    const std::vector<UpstreamState*>& usable, const ResidencyView& residency,
    const ChoiceInput& facts) {
  bool plain = facts.model.model.empty();
  std::vector<size_t> order;
  if (!plain) {
    order = OrderFor(usable, ToString(facts.model));
  }
  bool held = std::any_of(usable.begin(), usable.end(), [&](auto* it) {
    return !plain &&
           residency.Holds(it->entry.id, facts.model, facts.minimum_version);
  });
  std::optional<UpstreamChoice> best;
  for (size_t i = 0; i < usable.size(); ++i) {
    UpstreamState* it = usable[i];
    UpstreamChoice choice;
    choice.upstream = it;
    choice.cost_ms = CommonCost(*it, facts);
    if (plain) {
      choice.cost_ms += PlainCost(*it);
    } else {
      if (!residency.HoldsBaseModel(it->entry.id, facts.model.model)) {
        continue;
      }
      choice.cost_ms += PromptCost(*it, facts);
      choice.resident =
          residency.Holds(it->entry.id, facts.model, facts.minimum_version);
      if (!choice.resident) {
        choice.cost_ms += kLoadMs + kFartherMs * static_cast<double>(order[i]);
        choice.cost_ms += facts.now < it->slots_full_until ? kFullMs : 0;
        choice.cost_ms += held ? kSecondCopyMs : 0;
        bool wanted = facts.load_requested_at != nullptr &&
                      facts.load_requested_at->count(it->entry.id) > 0;
        choice.cost_ms -= wanted ? kWantedMs : 0;
      }
    }
    if (!best || choice.cost_ms < best->cost_ms) {
      best = choice;
    }
  }
  return best;
}

}  // namespace bilberrypitch
