// Test that the costs which ChooseUpstream hands out are those it decides by.
#include <algorithm>
#include <catch2/catch.hpp>
#include <cmath>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "serving/upstream_chooser.h"

namespace bilberrypitch {
namespace {

constexpr Millis kNow{100000};
constexpr double kTolerance = 1e-6;

// Random inputs of a choice, the same for each seed.
class RandomChoice {
 public:
  explicit RandomChoice(uint32_t seed) : random_(seed) {
    input.now = kNow;
    input.zone = ZoneId("z0");
    input.model = {ModelId(Chance(3) ? "" : "m"), AdapterId("a")};
    input.prompt_tokens = Below(3000);
    input.suspect = Chance(4);
    input.permit_wait_ms = Chance(2) ? Below(300) : 0;
    input.load_requested_at = &load_requested_;
    const int count = 1 + Below(8);
    for (int i = 0; i < count; ++i) {
      AddUpstream(UpstreamId("u" + std::to_string(i)));
    }
  }

  ChoiceInput input;
  ResidencyView residency;
  std::vector<UpstreamState*> usable;

 private:
  int Below(int bound) { return static_cast<int>(random_() % bound); }
  bool Chance(int in) { return Below(in) == 0; }

  void AddUpstream(const UpstreamId& id) {
    owned_.push_back(std::make_unique<UpstreamState>());
    UpstreamState* it = owned_.back().get();
    usable.push_back(it);
    it->entry.id = id;
    it->entry.zone = ZoneId("z" + std::to_string(Below(2)));
    it->entry.slots = 1 + Below(8);
    it->in_flight = Below(12);
    it->failure_rate = Below(3) * 0.1;
    it->suspect_requests = Below(2);
    it->pending_prefill_tokens = Below(4000);
    it->latency_ms = Below(200);
    it->backoff_until = Chance(5) ? kNow + Millis(100) : Millis(0);
    it->slots_full_until = Chance(4) ? kNow + Millis(100) : Millis(0);
    if (Chance(4)) {
      it->rate_limit_per_s = 5;
      it->rate_limited_until = kNow + Millis(Below(500) - 250);
    }
    if (!Chance(5)) {
      LoadedModel model;
      model.model = ModelId("m");
      residency.SetBaseModels(id, {model});
    }
    if (Chance(3)) {
      residency.OnReady(id, input.model, 1);
    }
    if (Chance(5)) {
      load_requested_.insert(id);
    }
    if (Chance(5)) {
      input.tried.push_back(id);
    }
    input.permit = Chance(6) ? id : input.permit;
  }

  std::mt19937 random_;
  std::vector<std::unique_ptr<UpstreamState>> owned_;
  std::set<UpstreamId> load_requested_;
};

double SumOf(const UpstreamCost& cost) {
  double sum = 0;
  for (const CostPart& part : cost.parts) {
    sum += part.ms;
  }
  return sum;
}

}  // namespace

// Guards against: the explanation of a choice names other costs, or another
// upstream, than the choice itself.
TEST_CASE("the costs of all candidates explain the choice", "[chooser]") {
  int chosen = 0;
  int without_base_model = 0;
  for (uint32_t seed = 1; seed <= 2000; ++seed) {
    CAPTURE(seed);
    RandomChoice it(seed);
    std::vector<UpstreamCost> costs;
    const std::optional<UpstreamChoice> choice =
        ChooseUpstream(it.usable, it.residency, it.input);
    const std::optional<UpstreamChoice> explained =
        ChooseUpstream(it.usable, it.residency, it.input, &costs);
    REQUIRE(explained.has_value() == choice.has_value());
    REQUIRE(costs.size() == it.usable.size());
    const UpstreamCost* cheapest = nullptr;
    for (size_t i = 0; i < costs.size(); ++i) {
      const UpstreamCost& cost = costs[i];
      REQUIRE(cost.upstream == it.usable[i]);
      REQUIRE(std::abs(SumOf(cost) - cost.cost_ms) < kTolerance);
      without_base_model += cost.holds_base_model ? 0 : 1;
      if (cost.holds_base_model &&
          (cheapest == nullptr || cost.cost_ms < cheapest->cost_ms)) {
        cheapest = &cost;
      }
    }
    REQUIRE((cheapest != nullptr) == choice.has_value());
    if (!choice) {
      continue;
    }
    ++chosen;
    REQUIRE(explained->upstream == choice->upstream);
    REQUIRE(explained->margin_ms == choice->margin_ms);
    REQUIRE(cheapest->upstream == choice->upstream);
    REQUIRE(cheapest->cost_ms == choice->cost_ms);
    REQUIRE(cheapest->resident == choice->resident);
  }
  REQUIRE(chosen > 1000);
  REQUIRE(without_base_model > 0);
}

}  // namespace bilberrypitch
