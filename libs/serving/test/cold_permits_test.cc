// Tests of the permits for cold upstreams: many instances of which some lose
// the store, the others or their process.
#include "serving/cold_permits.h"

#include <fmt/format.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <random>

namespace bilberrypitch {
namespace {

const UpstreamId kUpstream("u");
constexpr double kOver = 1.5;
constexpr double kSlack = 5;
constexpr Millis kStep{20};
constexpr Millis kSecond{1000};
constexpr Millis kLease{6000};

// One instance, with what it knows of the others.
struct Node {
  Node(const MachineId& id, Millis now) : machine(id), issuer(now) {}

  MachineId machine;
  ColdPermitIssuer issuer;
  ColdOwnShare own_share;
  std::vector<MachineId> members;  // In its view.
  Millis lease_until;              // As it knows; the store drops it then.
  bool is_running = true;
  bool has_store = true;
  int group = 0;  // It reaches the instances of its group.
};

// All instances, and the members that the store has.
class World {
 public:
  World(uint64_t seed, size_t size, double cold_per_s)
      : random_(seed), rate_(ColdPermitRate(cold_per_s, kOver, kSlack)) {
    for (size_t i = 0; i < size; ++i) {
      nodes_.emplace_back(MachineId(fmt::format("m{}", i)), Millis(0));
    }
  }

  void Run(Millis duration) {
    for (Millis end = now_ + duration; now_ < end; now_ = now_ + kStep) {
      ChangeSomething();
      for (Node& node : nodes_) {
        Sync(&node);
      }
      int requests = static_cast<int>(Below(8));
      for (int i = 0; i < requests; ++i) {
        Request(&nodes_[Below(nodes_.size())]);
      }
    }
  }

  // The most requests that the upstream gets in any one second.
  size_t MostInOneSecond() {
    std::sort(arrivals_.begin(), arrivals_.end());
    size_t most = 0;
    auto first = arrivals_.begin();
    for (auto it = arrivals_.begin(); it != arrivals_.end(); ++it) {
      while (*it - *first >= kSecond) {
        ++first;
      }
      most = std::max(most, static_cast<size_t>(it - first) + 1);
    }
    return most;
  }
  size_t requests() const { return arrivals_.size(); }

 private:
  uint64_t Below(uint64_t n) { return random_() % n; }

  // About every two seconds an instance restarts, dies, is suspended or cut
  // off.
  void ChangeSomething() {
    if (Below(100) != 0) {
      return;
    }
    Node& node = nodes_[Below(nodes_.size())];
    switch (Below(7)) {
      case 0:
      case 1:  // The issuers' lot matters most.
        Restart(&nodes_[IndexOfIssuer()]);
        break;
      case 2:
        node.is_running = !node.is_running;
        Restart(&node);
        break;
      case 3:
        node.has_store = !node.has_store;
        break;
      case 4:
        nodes_[IndexOfIssuer()].has_store = Below(2) == 0;
        break;
      case 5:  // Suspended, or running again with what it knew.
        nodes_[IndexOfIssuer()].is_running = Below(2) == 0;
        break;
      default:
        for (Node& each : nodes_) {
          each.group = static_cast<int>(Below(3) == 0 ? Below(3) : 0);
        }
    }
  }

  size_t IndexOfIssuer() {
    std::vector<MachineId> all;
    for (const Node& node : nodes_) {
      all.push_back(node.machine);
    }
    MachineId id = PermitIssuers(kUpstream, all)[Below(2)];
    return static_cast<size_t>(std::find(all.begin(), all.end(), id) -
                               all.begin());
  }

  void Restart(Node* node) {
    bool runs = node->is_running;
    Node fresh(node->machine, now_);
    fresh.is_running = runs;
    fresh.has_store = node->has_store;
    fresh.group = node->group;
    *node = std::move(fresh);
  }

  // Each instance sees the store after its own delay.
  void Sync(Node* node) {
    if (!node->is_running || !node->has_store || Below(40) != 0) {
      return;
    }
    node->lease_until = now_ + kLease;
    store_[node->machine] = node->lease_until;
    std::vector<MachineId> members;
    for (const auto& [machine, until] : store_) {
      if (now_ < until) {
        members.push_back(machine);
      }
    }
    if (members != node->members) {
      node->members = members;
      node->issuer.OnMembersChanged(now_);
    }
    node->issuer.OnView(now_, node->lease_until, now_);
  }

  void Request(Node* asker) {
    if (!asker->is_running || asker->members.empty()) {
      return;
    }
    Millis max_wait(static_cast<int64_t>(Below(4000)));
    for (const MachineId& id : PermitIssuers(kUpstream, asker->members)) {
      auto issuer =
          std::find_if(nodes_.begin(), nodes_.end(),
                       [&](const Node& node) { return node.machine == id; });
      if (!issuer->is_running || issuer->group != asker->group) {
        continue;
      }
      auto ids = PermitIssuers(kUpstream, issuer->members);
      IssuerRole role = IssuerRole::kNone;
      for (size_t i = 0; i < ids.size(); ++i) {
        if (ids[i] == id) {
          role = i == 0 ? IssuerRole::kFirst : IssuerRole::kSecond;
        }
      }
      std::optional<Permit> permit =
          issuer->issuer.Issue(kUpstream, role, rate_, max_wait, now_);
      if (permit) {
        Use(*permit);
        return;
      }
    }
    auto self =
        std::find(asker->members.begin(), asker->members.end(), asker->machine);
    auto rank = static_cast<size_t>(self - asker->members.begin());
    Use(asker->own_share.Issue(kUpstream, rate_, rank, asker->members.size(),
                               max_wait, now_));
  }

  // Requests come up to the permit's lifetime after its turn.
  void Use(const Permit& permit) {
    if (permit.granted) {
      Millis delay(static_cast<int64_t>(
          Below(static_cast<uint64_t>(kColdPermitLifetime.count()))));
      arrivals_.push_back(now_ + permit.wait + delay);
    }
  }

  std::mt19937_64 random_;
  const double rate_;
  Millis now_{1000};
  std::vector<Node> nodes_;
  std::map<MachineId, Millis> store_;  // Until when it has the member.
  std::vector<Millis> arrivals_;
};

}  // namespace

// Guards against: the upstream crashes because the sources of permits together
// give out too many for one second, while issuers change, restart or are cut
// off.
TEST_CASE("no cold upstream gets more in a second than it bears", "[cold]") {
  constexpr int64_t kSeconds = 200;
  constexpr uint64_t kSeeds = 12;
  for (double cold_per_s : {0.4, 2.0, 5.5, 20.0}) {
    for (size_t size : {2, 8, 70}) {
      size_t requests = 0;
      for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
        CAPTURE(cold_per_s, size, seed);
        World world(seed, size, cold_per_s);
        world.Run(kSecond * kSeconds);
        REQUIRE(static_cast<double>(world.MostInOneSecond()) <=
                cold_per_s * kOver + kSlack);
        requests += world.requests();
      }
      // It is used, although the issuers are often away.
      REQUIRE(static_cast<double>(requests) >=
              0.1 * cold_per_s * kSeconds * kSeeds);
    }
  }
}

TEST_CASE("the rate of permits leaves room for all sources", "[cold]") {
  for (double cold_per_s : {0.5, 2.0, 10.0}) {
    double rate = ColdPermitRate(cold_per_s, kOver, kSlack);
    REQUIRE(rate >= 0.5 * cold_per_s);
    REQUIRE(rate <= cold_per_s);
  }
  REQUIRE(ColdPermitRate(2, 1.5, 100) == 2);
  REQUIRE(ColdPermitRate(2, 1, 0) == kMinRatePerS);
}

// Guards against: after a pause the permits that nobody took come at once.
TEST_CASE("an issuer saves no permits up", "[cold]") {
  constexpr double kRate = 4;
  ColdPermitIssuer issuer{Millis(0)};
  Millis now(1000);
  issuer.OnView(now, now + kLease, now);
  auto issue = [&](Millis max_wait) {
    issuer.OnView(now, now + kLease, now);
    return issuer.Issue(kUpstream, IssuerRole::kFirst, kRate, max_wait, now);
  };
  REQUIRE_FALSE(issue(kSecond));  // Another may still act.
  for (now = Millis(1000); now < Millis(60000); now = now + kSecond) {
    issue(Millis(0));
  }
  for (int i = 0; i < 3; ++i) {
    std::optional<Permit> permit = issue(kSecond);
    REQUIRE(permit->granted);
    REQUIRE(permit->wait == Millis(250 * i));
  }
  REQUIRE_FALSE(issue(Millis(700))->granted);
}

// Guards against: the second issuer takes the full rate over while the first
// may still act, or one that has been away takes up a role that another got
// since.
TEST_CASE("an issuer with a new role waits for the one before", "[cold]") {
  constexpr double kRate = 4;
  ColdPermitIssuer issuer{Millis(0)};
  Millis now(0);
  auto count = [&](IssuerRole role, Millis duration) {
    int n = 0;
    for (Millis end = now + duration; now < end; now = now + kStep) {
      issuer.OnView(now, now + kLease, now);
      std::optional<Permit> permit =
          issuer.Issue(kUpstream, role, kRate, Millis(0), now);
      n += permit && permit->granted ? 1 : 0;
    }
    return n;
  };
  count(IssuerRole::kSecond, kSecond * 10);
  REQUIRE(count(IssuerRole::kSecond, kSecond * 5) <= 10);
  issuer.OnMembersChanged(now);
  REQUIRE(count(IssuerRole::kFirst, kSecond * 6) <= 12);
  count(IssuerRole::kFirst, kSecond);
  REQUIRE(count(IssuerRole::kFirst, kSecond * 5) >= 18);
  // Nobody asks while it may have lost the role and got it again.
  now = now + kSecond * 5;
  issuer.OnView(now - kSecond, now + kLease, now - kSecond);
  issuer.OnMembersChanged(now);
  REQUIRE(count(IssuerRole::kFirst, kSecond * 6) == 0);
  REQUIRE(count(IssuerRole::kFirst, kSecond * 2) > 0);
  // Its view was too old for a moment, and nobody asked meanwhile.
  now = now + kSecond * 5;
  REQUIRE(count(IssuerRole::kFirst, kSecond * 6) == 0);
  REQUIRE(count(IssuerRole::kFirst, kSecond * 2) > 0);
}

// Guards against: instances that lose the issuers all use their share at once,
// each time again.
TEST_CASE("own shares of a cold upstream are spread", "[cold]") {
  constexpr size_t kMembers = 100;
  constexpr double kRate = 4;
  std::vector<ColdOwnShare> shares(kMembers);
  std::map<int64_t, int> granted;
  for (int64_t begin : {0, 1000000, 1100000}) {
    for (Millis now(begin); now < Millis(begin + 50000); now = now + kSecond) {
      for (size_t rank = 0; rank < kMembers; ++rank) {
        Permit permit = shares[rank].Issue(kUpstream, kRate, rank, kMembers,
                                           Millis(0), now);
        granted[now.count()] += permit.granted ? 1 : 0;
      }
    }
  }
  int total = 0;
  for (const auto& [at, n] : granted) {
    REQUIRE(n <= 3);
    total += n;
  }
  REQUIRE(total > 50);
}

// Guards against: each of many instances that start together takes itself for
// one of a few, so that they use their shares at the same time.
TEST_CASE("own shares are spread while the members become known", "[cold]") {
  constexpr size_t kMembers = 70;
  constexpr double kRate = 1;
  std::vector<ColdOwnShare> shares(kMembers);
  int total = 0;
  for (int64_t second = 0; second < 600; ++second) {
    int granted = 0;
    for (size_t rank = 0; rank < kMembers; ++rank) {
      // Of the members before it in order, it sees none in the first second.
      size_t seen_before = second == 0 ? 0 : rank;
      size_t members = second == 0 ? 1 : kMembers;
      Permit permit = shares[rank].Issue(kUpstream, kRate, seen_before, members,
                                         Millis(0), kSecond * second);
      granted += permit.granted ? 1 : 0;
    }
    REQUIRE(granted <= 2);
    total += granted;
  }
  REQUIRE(total > 100);
}

}  // namespace bilberrypitch
