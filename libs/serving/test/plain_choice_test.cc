// Tests of the choice among a few plain upstreams that many instances share.
#include <algorithm>
#include <array>
#include <catch2/catch.hpp>
#include <memory>
#include <random>
#include <vector>

#include "serving/upstream_chooser.h"
#include "serving/upstream_registry.h"

namespace bilberrypitch {
namespace {

constexpr size_t kInstances = 80;
constexpr uint32_t kSlots = 6;
constexpr int64_t kSecond = 1000;
constexpr int64_t kNetworkMs = 1;
constexpr double kNewsLoss = 0.1;

ZoneId ZoneOf(size_t index) { return ZoneId(std::to_string(index % 3)); }

// Plain upstreams with a few slots and no queue, and instances that know of
// them by responses and by each other's news.
class PlainFleet {
 public:
  PlainFleet(size_t upstreams, uint32_t seed) : random_(seed) {
    for (size_t i = 0; i < upstreams; ++i) {
      upstreams_.push_back({UpstreamId("s-" + std::to_string(i))});
    }
    for (size_t i = 0; i < kInstances; ++i) {
      UpstreamRegistry::Hooks hooks;
      hooks.on_local_load_changed = [](const UpstreamId&) {};
      instances_.push_back(std::make_unique<UpstreamRegistry>(hooks));
      for (const Upstream& upstream : upstreams_) {
        UpstreamEntry entry;
        entry.id = upstream.id;
        entry.slots = kSlots;
        entry.zone = ZoneOf(&upstream - upstreams_.data());
        instances_[i]->OnRecord({upstream.id, entry}, Millis(now_), Millis(0));
      }
    }
  }

  struct Counts {
    int arrived = 0;
    int rejected_while_room = 0;  // By the upstream that was chosen first.
    int failed = 0;               // Rejected by all.
    std::array<int, 8> served{};  // By upstream.
    int news = 0;                 // Messages sent, each to all instances.
    double ShareOf(size_t upstream) const {
      return static_cast<double>(served[upstream]) / std::max(1, arrived);
    }
    double RejectedShare() const {
      return static_cast<double>(rejected_while_room) / std::max(1, arrived);
    }
  };

  Counts Run(int64_t ms, double per_s) {
    counts_ = Counts();
    for (const int64_t end = now_ + ms; now_ < end; ++now_) {
      DeliverNews();
      Finish();
      if (std::uniform_real_distribution<>(0, kSecond)(random_) < per_s) {
        Arrive(random_() % instances_.size());
      }
    }
    return counts_;
  }

  void SetSlowdown(size_t upstream, double slowdown) {
    upstreams_[upstream].slowdown = slowdown;
  }
  bool states_slowdown = true;

 private:
  struct Work {
    size_t instance = 0;
    int64_t sent_at = 0;
    int64_t ends_at = 0;
  };
  struct Upstream {
    UpstreamId id;
    double slowdown = 1;
    std::vector<Work> running{};
  };
  struct News {
    size_t from = 0;
    UpstreamId id;
    double slowdown = 0;
    int64_t due_at = 0;
  };

  Millis Now() const { return Millis(now_); }

  void Arrive(size_t instance) {
    ++counts_.arrived;
    UpstreamRegistry& registry = *instances_[instance];
    ChoiceInput input;
    input.now = Now();
    input.zone = ZoneOf(instance);
    input.seed = random_() | 1;
    while (input.tried.size() < upstreams_.size()) {
      std::vector<UpstreamState*> usable = registry.UsableOf({}, Now());
      UpstreamState* state = ChooseUpstream(usable, {}, input)->upstream;
      Upstream& upstream =
          *std::find_if(upstreams_.begin(), upstreams_.end(),
                        [&](auto& it) { return it.id == state->entry.id; });
      registry.OnAttemptStarted(state, 0);
      state->capacity.OnAttemptBegun(Now());
      if (upstream.running.size() < kSlots) {
        double work_ms = std::uniform_real_distribution<>(15, 60)(random_);
        upstream.running.push_back(
            {instance, now_,
             now_ + 2 * kNetworkMs +
                 static_cast<int64_t>(work_ms * upstream.slowdown)});
        return;
      }
      counts_.rejected_while_room += input.tried.empty() && HasRoom() ? 1 : 0;
      Respond(&upstream, instance, now_, false);
      state->capacity.OnFull(Now());
      input.tried.push_back(state->entry.id);
    }
    ++counts_.failed;
  }

  bool HasRoom() const {
    return std::any_of(
        upstreams_.begin(), upstreams_.end(),
        [](const Upstream& it) { return it.running.size() < kSlots; });
  }

  void Finish() {
    for (size_t i = 0; i < upstreams_.size(); ++i) {
      std::vector<Work>& running = upstreams_[i].running;
      for (size_t j = 0; j < running.size();) {
        if (running[j].ends_at > now_) {
          ++j;
          continue;
        }
        Work work = running[j];
        running.erase(running.begin() + static_cast<std::ptrdiff_t>(j));
        ++counts_.served[i];
        Respond(&upstreams_[i], work.instance, work.sent_at, true);
      }
    }
  }

  void Respond(Upstream* upstream, size_t instance, int64_t sent_at,
               bool completed) {
    UpstreamRegistry& registry = *instances_[instance];
    UpstreamState* state = registry.Find(upstream->id);
    registry.OnAttemptEnded(state, 0);
    if (completed) {
      registry.OnAttemptResult(state, false, Millis(now_ - sent_at));
    }
    state->capacity.OnAttemptEnded(Millis(sent_at), completed, Now());
    UpstreamLoadReport report{static_cast<uint32_t>(upstream->running.size()),
                              0, kSlots, std::nullopt};
    if (states_slowdown) {
      double noise = std::uniform_real_distribution<>(0.9, 1.1)(random_);
      report.slowdown = upstream->slowdown * noise;
    }
    registry.OnLoadReport(state, report, Now());
    if (state->capacity.IsNewsDue(Now())) {
      ++counts_.news;
      news_.push_back({instance, upstream->id, state->capacity.Slowdown(Now()),
                       now_ + kNetworkMs});
      state->capacity.OnNewsSent(Now());
    }
  }

  void DeliverNews() {
    std::vector<News> due;
    std::swap(due, news_);
    for (const News& news : due) {
      if (news.due_at > now_) {
        news_.push_back(news);
        continue;
      }
      for (size_t i = 0; i < instances_.size(); ++i) {
        bool lost = std::uniform_real_distribution<>()(random_) < kNewsLoss;
        if (i != news.from && !lost) {
          instances_[i]->Find(news.id)->capacity.OnNews(news.slowdown, Now());
        }
      }
    }
  }

  int64_t now_ = 10 * kSecond;
  std::mt19937 random_;
  std::vector<Upstream> upstreams_;
  std::vector<std::unique_ptr<UpstreamRegistry>> instances_;
  std::vector<News> news_;
  Counts counts_;
};

}  // namespace

// Guards against: a slow upstream keeps its traffic until each instance has
// found out by itself, or gets none any more once it has recovered; instances
// choose the same upstream and find it full.
TEST_CASE("a fleet follows plain upstreams that slow down and recover",
          "[choice][capacity]") {
  const uint32_t seed = GENERATE(1, 2, 3, 4, 5, 6);
  const size_t upstreams = GENERATE(3, 4);
  const double slowdown = GENERATE(3.0, 8.0);
  CAPTURE(seed, upstreams, slowdown);
  PlainFleet fleet(upstreams, seed);
  fleet.states_slowdown = GENERATE(true, false);
  CAPTURE(fleet.states_slowdown);
  fleet.Run(40 * kSecond, 180);
  PlainFleet::Counts usual = fleet.Run(10 * kSecond, 180);
  REQUIRE(usual.RejectedShare() < 0.04);
  const double equal = 1.0 / static_cast<double>(upstreams);
  fleet.SetSlowdown(0, slowdown);
  fleet.Run(kSecond, 180);
  PlainFleet::Counts slow = fleet.Run(5 * kSecond, 180);
  REQUIRE(slow.ShareOf(0) < 0.3 * equal);
  REQUIRE(slow.served[0] > 0);
  REQUIRE(slow.failed <= 5);
  // Each message goes to the instances of a zone.
  REQUIRE(slow.news < 5 * 20);
  fleet.SetSlowdown(0, 1);
  fleet.Run((fleet.states_slowdown ? 2 : 4) * kSecond, 180);
  PlainFleet::Counts recovered = fleet.Run(5 * kSecond, 180);
  REQUIRE(recovered.ShareOf(0) > 0.5 * equal);
}

TEST_CASE("an upstream that is always slower gets less and is not starved",
          "[choice][capacity]") {
  PlainFleet fleet(4, GENERATE(1, 2, 3));
  fleet.states_slowdown = GENERATE(true, false);
  fleet.SetSlowdown(0, 2.2);
  fleet.Run(60 * kSecond, 140);
  PlainFleet::Counts counts = fleet.Run(20 * kSecond, 140);
  REQUIRE(counts.ShareOf(0) > 0.005);
  REQUIRE(counts.ShareOf(0) < 0.2);
}

// Guards against: a burst at the upstream that an old report shows as idle.
TEST_CASE("instances with the same old report choose different upstreams",
          "[choice][capacity]") {
  std::array<UpstreamState, 4> states;
  std::vector<UpstreamState*> usable;
  for (size_t i = 0; i < states.size(); ++i) {
    states[i].entry.id = UpstreamId("s-" + std::to_string(i));
    states[i].entry.slots = kSlots;
    states[i].load_report = {i == 0 ? 0U : 5U, 0, kSlots, 1.0};
    states[i].capacity.OnReport(states[i].load_report, Millis(1000));
    usable.push_back(&states[i]);
  }
  std::array<int, 4> chosen{};
  ChoiceInput input;
  input.now = Millis(1500);
  for (input.seed = 1; input.seed <= 1000; ++input.seed) {
    UpstreamChoice choice = *ChooseUpstream(usable, {}, input);
    ++chosen[choice.upstream - states.data()];
  }
  REQUIRE(*std::max_element(chosen.begin(), chosen.end()) < 500);
  REQUIRE(*std::min_element(chosen.begin(), chosen.end()) > 150);
  SECTION("and one of which nothing is known as well") {
    chosen = {};
    for (size_t i = 1; i < states.size(); ++i) {
      states[i].latency_ms = 5;
    }
    for (input.seed = 1; input.seed <= 1000; ++input.seed) {
      UpstreamChoice choice = *ChooseUpstream(usable, {}, input);
      ++chosen[choice.upstream - states.data()];
    }
    REQUIRE(chosen[0] > 150);
  }
  SECTION("but not one that has just rejected the request or others") {
    states[1].capacity.OnFull(input.now);
    input.tried = {states[0].entry.id};
    int full = 0;
    for (input.seed = 1; input.seed <= 1000; ++input.seed) {
      const UpstreamState* to = ChooseUpstream(usable, {}, input)->upstream;
      REQUIRE(to != &states[0]);
      full += to == &states[1] ? 1 : 0;
    }
    REQUIRE(full < 50);
  }
}

// Guards against: other deployments are served differently than before.
TEST_CASE(
    "without a stated figure and with equal latencies the cheapest is "
    "chosen",
    "[choice][capacity]") {
  std::mt19937 random(1);
  for (int round = 0; round < 300; ++round) {
    std::array<UpstreamState, 3> states;
    std::vector<UpstreamState*> usable;
    for (size_t i = 0; i < states.size(); ++i) {
      UpstreamState& state = states[i];
      state.entry.id = UpstreamId("s-" + std::to_string(i));
      state.entry.slots = kSlots;
      state.latency_ms = 40;
      state.load_report = {static_cast<uint32_t>(random() % 7),
                           static_cast<uint32_t>(random() % 2), kSlots,
                           std::nullopt};
      state.capacity.OnReport(state.load_report, Millis(1));
      for (int n = 0; n < 20; ++n) {
        state.capacity.OnAttemptBegun(Millis(100 * n));
        state.capacity.OnAttemptEnded(
            Millis(100 * n), true,
            Millis(100 * n + 15 + static_cast<int64_t>(random() % 46)));
      }
      usable.push_back(&state);
    }
    auto cost = [](const UpstreamState* state) {
      double busy = state->load_report.running + state->load_report.waiting;
      return 40 * (1 + std::max(0.0, busy + 1 - kSlots) / kSlots) + busy;
    };
    ChoiceInput input;
    input.now = Millis(2100);
    input.seed = random() | 1;
    const UpstreamState* chosen = ChooseUpstream(usable, {}, input)->upstream;
    REQUIRE(chosen == *std::min_element(usable.begin(), usable.end(),
                                        [&](auto* left, auto* right) {
                                          return cost(left) < cost(right);
                                        }));
  }
}

// Guards against: requests stay on an engine that takes several times as long.
TEST_CASE("an engine that slows down loses requests to another copy",
          "[choice][capacity]") {
  std::array<UpstreamState, 2> engines;
  engines[0].entry.id = UpstreamId("one");
  engines[1].entry.id = UpstreamId("two");
  ModelRef target{ModelId("m"), AdapterId("a")};
  ResidencyView residency;
  std::vector<UpstreamState*> usable;
  for (UpstreamState& engine : engines) {
    engine.entry.slots = 64;
    residency.SetBaseModels(engine.entry.id, {{ModelId("m"), 1, {}}});
    residency.OnReady(engine.entry.id, target, 1);
    usable.push_back(&engine);
  }
  engines[1].in_flight = 90;
  ChoiceInput input;
  input.model = target;
  input.prompt_tokens = 400;
  input.now = Millis(1000);
  input.seed = 1;
  auto chosen = [&] {
    return ChooseUpstream(usable, residency, input)->upstream;
  };
  REQUIRE(chosen() == &engines[0]);
  engines[0].capacity.OnReport({30, 0, 64, 2.5}, input.now);
  REQUIRE(chosen() == &engines[1]);
  // Some requests find out whether it has recovered.
  input.now = Millis(6000);
  int probes = 0;
  for (input.seed = 1; input.seed <= 1000; ++input.seed) {
    probes += chosen() == &engines[0] ? 1 : 0;
  }
  REQUIRE(probes > 100);
  REQUIRE(probes < 500);
  engines[0].capacity.OnReport({30, 0, 64, 1}, input.now);
  REQUIRE(chosen() == &engines[0]);
}

}  // namespace bilberrypitch
