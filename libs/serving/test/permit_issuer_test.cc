// Tests of the permits for upstreams that state a rate limit.
#include "serving/permit_issuer.h"

#include <fmt/format.h>

#include <catch2/catch.hpp>
#include <set>

#include "serving/permit_wait_estimate.h"

namespace bilberrypitch {
namespace {

const UpstreamId kUpstream("u");
constexpr Millis kStep{10};

// Asks at each step from `begin` for `duration` and returns the permits whose
// turn comes at once.
int CountPermits(PermitIssuer* issuer, double rate, Millis begin,
                 Millis duration, double share = 1) {
  int n = 0;
  for (Millis now = begin; now < begin + duration; now = now + kStep) {
    n += issuer->Issue(kUpstream, rate, share, Millis(0), now).granted ? 1 : 0;
  }
  return n;
}

}  // namespace

TEST_CASE("permits come at the rate of the limit", "[permits]") {
  for (double rate : {0.5, 1.1, 4.0, 40.0}) {
    PermitIssuer issuer;
    int n = CountPermits(&issuer, rate, Millis(1000), Millis(100 * 1000));
    REQUIRE(n <= 100 * rate + 2);
    REQUIRE(n >= 95 * rate - 2);
  }
}

TEST_CASE("a new issuer begins at a share of the rate", "[permits]") {
  PermitIssuer issuer;
  issuer.OnMembersChanged(Millis(1000));
  REQUIRE(CountPermits(&issuer, 10, Millis(1000), Millis(4000)) <= 20);
  REQUIRE(CountPermits(&issuer, 10, Millis(5000), Millis(4000)) >= 36);
}

TEST_CASE("permits in advance come one after the other", "[permits]") {
  PermitIssuer issuer;
  Millis now(1000);
  issuer.Issue(kUpstream, 2, 1, Millis(0), now);
  std::vector<int64_t> waits;
  for (int i = 0; i < 3; ++i) {
    Permit permit = issuer.Issue(kUpstream, 2, 1, Millis(2000), now);
    REQUIRE(permit.granted);
    waits.push_back(permit.wait.count());
  }
  REQUIRE(waits == std::vector<int64_t>{500, 1000, 1500});
  REQUIRE_FALSE(issuer.Issue(kUpstream, 2, 1, Millis(1900), now).granted);
  issuer.Return(kUpstream);
  REQUIRE(issuer.Issue(kUpstream, 2, 1, Millis(1900), now).granted);
}

TEST_CASE("a limit of zero still lets a request through now and then",
          "[permits]") {
  PermitIssuer issuer;
  int n = CountPermits(&issuer, 0, Millis(1000), Millis(60 * 1000));
  REQUIRE(n >= 4);
  REQUIRE(n <= 7);
}

// Failure pattern: an issuer dies, another that its peers didn't reach comes
// back, and for a moment both issue while some reach neither.
TEST_CASE("all issuers together stay within what an upstream bears",
          "[permits]") {
  constexpr double kRate = 3;
  constexpr int kMembers = 195;
  PermitIssuer old_issuer;
  PermitIssuer new_issuer;
  new_issuer.OnMembersChanged(Millis(20000));
  PermitIssuer substitute;
  std::vector<PermitIssuer> isolated;
  isolated.reserve(kMembers);
  for (int i = 0; i < kMembers; ++i) {
    isolated.emplace_back(-static_cast<double>(i) / kMembers, Millis(1000));
  }
  // The first issuer has run for long; its successor begins at 20 s while some
  // still ask it.
  CountPermits(&old_issuer, kRate, Millis(0), Millis(20000));
  int n = CountPermits(&old_issuer, kRate, Millis(20000), Millis(4000));
  SECTION("with a successor") {
    n += CountPermits(&new_issuer, kRate, Millis(20000), Millis(4000));
  }
  SECTION("with a substitute") {
    n += CountPermits(&substitute, kRate, Millis(20000), Millis(4000),
                      kSubstituteShare);
  }
  SECTION("with instances that reach nobody") {
    for (PermitIssuer& issuer : isolated) {
      // They have asked in vain for some time.
      CountPermits(&issuer, kRate, Millis(0), Millis(20000),
                   kIsolatedShare / kMembers);
      n += CountPermits(&issuer, kRate, Millis(20000), Millis(4000),
                        kIsolatedShare / kMembers);
    }
  }
  REQUIRE(n <= 1.5 * kRate * 4 + 5);
}

// Guards against: instances that reach no issuer all use their share at once.
TEST_CASE("own shares are used one after the other", "[permits]") {
  constexpr double kRate = 3;
  constexpr int kMembers = 195;
  std::vector<PermitIssuer> isolated;
  isolated.reserve(kMembers);
  for (int i = 0; i < kMembers; ++i) {
    isolated.emplace_back(-static_cast<double>(i) / kMembers, Millis(1000));
  }
  constexpr size_t kSeconds = 600;
  std::vector<int> granted(kSeconds);
  for (size_t second = 0; second < kSeconds; ++second) {
    Millis now(static_cast<int64_t>(second) * 1000);
    for (PermitIssuer& issuer : isolated) {
      Permit permit = issuer.Issue(kUpstream, kRate, kIsolatedShare / kMembers,
                                   Millis(0), now);
      granted[second] += permit.granted ? 1 : 0;
    }
  }
  int total = 0;
  for (size_t second = 3; second < kSeconds; ++second) {
    int in_window = granted[second] + granted[second - 1] +
                    granted[second - 2] + granted[second - 3];
    REQUIRE(in_window <= kIsolatedShare * kRate * 4 + 2);
    total += granted[second];
  }
  REQUIRE(total >= 100);
}

TEST_CASE("the issuers of upstreams are spread over the members", "[permits]") {
  std::vector<MachineId> members(20);
  for (size_t i = 0; i < members.size(); ++i) {
    members[i] = MachineId(fmt::format("m{}", i));
  }
  std::set<MachineId> first;
  for (int i = 0; i < 200; ++i) {
    UpstreamId upstream(fmt::format("u{}", i));
    std::vector<MachineId> issuers = PermitIssuers(upstream, members);
    REQUIRE(issuers.size() == 2);
    first.insert(issuers[0]);
    // When the first leaves, the second takes its place.
    std::vector<MachineId> others = members;
    std::erase(others, issuers[0]);
    REQUIRE(PermitIssuers(upstream, others)[0] == issuers[1]);
  }
  REQUIRE(first.size() == members.size());
  REQUIRE(PermitIssuers(kUpstream, {MachineId("m")}).size() == 1);
}

TEST_CASE("buckets that nobody asks are dropped", "[permits]") {
  PermitIssuer issuer;
  for (int i = 0; i < 5000; ++i) {
    issuer.Issue(UpstreamId(fmt::format("u{}", i)), 1, 1, Millis(0),
                 Millis(i * 1000));
  }
  REQUIRE(issuer.size() <= 256);
}

// Guards against: after one long wait nobody asks an upstream with a rate limit
// any more, so that its limit is wasted.
TEST_CASE("the expected wait for a permit is over when the stated one is",
          "[permits]") {
  PermitWaitEstimate estimate;
  REQUIRE(estimate.ExpectedMs(Millis(0)) == 0);
  const Millis stated(4000);
  const Millis first(10000);
  estimate.OnStated(stated, first);
  double expected = estimate.ExpectedMs(first);
  REQUIRE(expected > 0);
  REQUIRE(expected < static_cast<double>(stated.count()));
  REQUIRE(estimate.ExpectedMs(first + Millis(100)) == expected);
  REQUIRE(estimate.ExpectedMs(first + stated) == 0);
}

TEST_CASE("the expected wait for a permit follows what is stated",
          "[permits]") {
  constexpr int kStatements = 100;
  PermitWaitEstimate estimate;
  Millis now(10000);
  for (int i = 0; i < kStatements; ++i) {
    now = now + Millis(10);
    estimate.OnStated(Millis(300), now);
  }
  REQUIRE(estimate.ExpectedMs(now) > 290);
  REQUIRE(estimate.ExpectedMs(now) <= 300);
}

}  // namespace bilberrypitch
