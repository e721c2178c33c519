// A randomised run of poison requests: each crashes the upstream that runs it
// and is sent again by its caller to other instances. The bound on crashes is
// the one that the header states.
#include "dispatch/quarantine.h"

#include <fmt/format.h>

#include <catch2/catch.hpp>
#include <random>

namespace bilberrypitch {
namespace {

constexpr size_t kInstances = 8;
constexpr size_t kUpstreams = 12;
constexpr int kRounds = 3000;

struct Outcome {
  int crashes = 0;
  int innocents_quarantined = 0;
  int innocents_answered = 0;
};

// One poison request among innocents. The caller sends it to another instance
// each time; gossip arrives after `lag` sends.
Outcome RunPoison(uint64_t seed, int lag) {
  std::mt19937_64 random(seed);
  auto pick = [&](size_t n) { return static_cast<size_t>(random() % n); };
  std::vector<Quarantine> instances;
  for (size_t i = 0; i < kInstances; ++i) {
    instances.emplace_back(InstanceId(fmt::format("i{}", i)));
  }
  Fingerprint poison("poison");
  Outcome outcome;
  Millis now(0);
  std::vector<std::pair<int, QuarantineRecord>> gossip;  // Due at a round.
  for (int round = 0; round < kRounds; ++round) {
    now = now + Millis(100);
    for (auto& [due, record] : gossip) {
      if (due != round) continue;
      for (Quarantine& it : instances) it.OnGossip(record);
    }
    size_t index = pick(kInstances);
    Quarantine& instance = instances[index];
    UpstreamId upstream(fmt::format("u{}", pick(kUpstreams)));
    std::vector<Fingerprint> running;
    for (size_t i = 0; i < pick(6); ++i) {
      // An innocent request is retried by the instance that holds it.
      Fingerprint innocent(fmt::format("innocent-{}-{}", index, pick(50)));
      QuarantineVerdict verdict = instance.Judge(innocent, now);
      if (verdict == QuarantineVerdict::kQuarantined) {
        ++outcome.innocents_quarantined;
        continue;
      }
      if (verdict == QuarantineVerdict::kBusy) continue;
      bool alone = verdict == QuarantineVerdict::kAlone;
      if (alone && !instance.MayRunAlone(upstream)) {
        continue;
      }
      instance.OnBegin(innocent, upstream);
      running.push_back(innocent);
    }
    QuarantineVerdict verdict = instance.Judge(poison, now);
    bool runs = verdict == QuarantineVerdict::kFree ||
                (verdict == QuarantineVerdict::kAlone &&
                 instance.MayRunAlone(upstream));
    if (runs) {
      instance.OnBegin(poison, upstream);
      running.push_back(poison);
      ++outcome.crashes;
      instance.OnCrash(running, now);
      for (const QuarantineRecord& it : instance.Records(now)) {
        gossip.push_back({round + lag, it});
      }
    }
    for (const Fingerprint& it : running) {
      instance.OnEnd(it, upstream);
      if (!runs) {
        instance.OnSuccess(it);
        ++outcome.innocents_answered;
      }
    }
  }
  return outcome;
}

}  // namespace

TEST_CASE("a poison request crashes a bounded number of upstreams") {
  for (uint64_t seed = 1; seed <= 100; ++seed) {
    for (int lag : {1, 4, 16}) {
      Outcome outcome = RunPoison(seed, lag);
      INFO("seed " << seed << " lag " << lag);
      // Two through the first instance, one more through each other instance.
      REQUIRE(outcome.crashes <= static_cast<int>(2 + kInstances - 1));
      REQUIRE(outcome.innocents_quarantined == 0);
    }
  }
}

TEST_CASE("a quarantine ends") {
  Quarantine quarantine(InstanceId("i"));
  Fingerprint it("f");
  quarantine.OnCrash({it}, Millis(0));
  quarantine.OnCrash({it}, Millis(0));
  REQUIRE(quarantine.Judge(it, Millis(0)) == QuarantineVerdict::kQuarantined);
  REQUIRE(quarantine.Judge(it, Millis(3600 * 1000)) ==
          QuarantineVerdict::kFree);
}

}  // namespace bilberrypitch
