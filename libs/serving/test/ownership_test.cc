// Duties and rates over several instances, with leases that lapse.
#include "serving/ownership.h"

#include <catch2/catch.hpp>
#include <memory>
#include <random>

#include "serving/rate_limiter.h"

namespace bilberrypitch {
namespace {

constexpr Millis kTurn{3000};
constexpr Millis kLease{6000};
const ResourceId kDuty = EngineResource(UpstreamId("engine-1"));

ClusterMember MemberOf(const std::string& machine, const std::string& boot) {
  return {MachineId(machine), BootId(boot), ZoneId("z"), "127.0.0.1:1"};
}

}  // namespace

TEST_CASE("duties name what they are about", "[ownership]") {
  REQUIRE(EngineOf(EngineResource(UpstreamId("i-1"))).str() == "i-1");
  REQUIRE(WorkspaceOf(EngineResource(UpstreamId("i-1"))).empty());
  REQUIRE(WorkspaceOf(RateResource(WorkspaceId("w"))).str() == "w");
}

TEST_CASE("a duty seen from its beginning needs no wait", "[ownership]") {
  Ownership it(MemberOf("m1", "b1"), kTurn, Millis(0));
  it.OnLease(1);
  it.OnFullReadCompleted(Millis(0));
  Millis now(10000);
  it.OnResource(kDuty, ZoneId("z"), now);
  auto claims = it.TakeClaims(now);
  REQUIRE(claims.size() == 1);
  REQUIRE(claims[0].revision == 0);
  it.OnOwner(kDuty, {MachineId("m1"), BootId("b1"), 7, 1}, now);
  REQUIRE(it.FencingToken(kDuty, now) == 7);
}

TEST_CASE("a duty of another owner waits out its turn", "[ownership]") {
  Ownership it(MemberOf("m1", "b1"), kTurn, Millis(0));
  it.OnLease(1);
  Millis now(10000);
  it.OnResource(kDuty, ZoneId("z"), now);
  it.OnOwner(kDuty, {MachineId("m2"), BootId("b2"), 5}, now);
  it.OnFullReadCompleted(now);
  REQUIRE(it.TakeClaims(now + Millis(60000)).empty());
  it.OnOwnerRemoved(kDuty, now + Millis(1000));
  now = now + Millis(20000);
  REQUIRE(it.TakeClaims(now).size() == 1);
  it.OnOwner(kDuty, {MachineId("m1"), BootId("b1"), 9, 1}, now);
  REQUIRE(it.FencingToken(kDuty, now + Millis(2999)) == 0);
  REQUIRE(it.FencingToken(kDuty, now + Millis(3300)) == 9);
}

TEST_CASE("a restarted machine takes its duties up at once", "[ownership]") {
  Ownership it(MemberOf("m1", "b2"), kTurn, Millis(0));
  it.OnLease(1);
  Millis now(10000);
  it.OnResource(kDuty, ZoneId("z"), now);
  it.OnOwner(kDuty, {MachineId("m1"), BootId("b1"), 5, 1, true}, now);
  it.OnFullReadCompleted(now);
  auto claims = it.TakeClaims(now);
  REQUIRE(claims.size() == 1);
  REQUIRE(claims[0].revision == 5);
  REQUIRE(it.FencingToken(kDuty, now) == 0);
  it.OnOwner(kDuty, {MachineId("m1"), BootId("b2"), 8, 1}, now);
  REQUIRE(it.FencingToken(kDuty, now) == 8);
}

// Found by the long run: the process before was still waiting for its turn.
TEST_CASE("a restarted machine waits where its right had not begun",
          "[ownership]") {
  Ownership it(MemberOf("m1", "b2"), kTurn, Millis(0));
  it.OnLease(2);
  Millis now(10000);
  it.OnResource(kDuty, ZoneId("z"), now);
  it.OnOwner(kDuty, {MachineId("m1"), BootId("b1"), 5, 1, false}, now);
  it.OnFullReadCompleted(now);
  REQUIRE(it.TakeClaims(now).size() == 1);
  it.OnOwner(kDuty, {MachineId("m1"), BootId("b2"), 8, 2, false}, now);
  REQUIRE(it.FencingToken(kDuty, now) == 0);
  now = now + Millis(3300);
  REQUIRE(it.FencingToken(kDuty, now) == 8);
  auto claims = it.TakeClaims(now);  // To write down that it has begun.
  REQUIRE(claims.size() == 1);
  REQUIRE(claims[0].takeover_complete);
  it.OnOwner(kDuty, {MachineId("m1"), BootId("b2"), 9, 2, true}, now);
  REQUIRE(it.FencingToken(kDuty, now) == 9);
}

// Found by the long run: a new lease gave back what the old one had lost.
TEST_CASE("a duty goes with the lease that it was taken with", "[ownership]") {
  Ownership it(MemberOf("m1", "b1"), kTurn, Millis(0));
  it.OnLease(1);
  it.OnFullReadCompleted(Millis(0));
  Millis now(10000);
  it.OnResource(kDuty, ZoneId("z"), now);
  it.OnOwner(kDuty, {MachineId("m1"), BootId("b1"), 7, 1, true}, now);
  REQUIRE(it.FencingToken(kDuty, now) == 7);
  it.OnLease(2);
  REQUIRE(it.FencingToken(kDuty, now) == 0);
}

namespace {

// Machines that claim one duty against a store with leases. They freeze, are
// cut from the store, restart; events reach them late. Invariants: tokens rise
// with each owner, and two machines never act within one turn.
class DutyRun {
 public:
  explicit DutyRun(uint64_t seed) : random_(seed) {
    for (int i = 0; i < kMachines; ++i) {
      Boot(i);
    }
  }

  void Step() {
    now_ = now_ + Millis(50);
    Expire();
    for (int i = 0; i < kMachines; ++i) {
      StepMachine(i);
    }
    Disturb();
  }

  int acted() const { return acted_; }
  int changes() const { return changes_; }

 private:
  static constexpr int kMachines = 3;

  struct Machine {
    std::string name;
    std::string boot;
    int64_t lease = 0;
    std::unique_ptr<Ownership> view;
    Millis lease_until;  // As the store counts.
    Millis valid_until;  // As the machine counts.
    Millis frozen_until;
    Millis cut_until;
    Millis renewed;
    int64_t seen = 0;  // Revision up to which it knows the store.
  };

  int Draw(int n) {
    return std::uniform_int_distribution<int>(0, n - 1)(random_);
  }

  void Boot(int i) {
    Machine& it = machines_[i];
    it.name = "m" + std::to_string(i);
    it.boot = "b" + std::to_string(++boots_);
    it.view =
        std::make_unique<Ownership>(MemberOf(it.name, it.boot), kTurn, now_);
    it.lease = ++leases_;
    it.view->OnLease(it.lease);
    it.lease_until = now_ + kLease;
    it.valid_until = now_ + kLease;
    it.renewed = now_;
    it.seen = 0;
    for (int j = 0; j < kMachines; ++j) {
      it.view->OnMember(MemberOf("m" + std::to_string(j), "b"));
    }
    it.view->OnResource(kDuty, ZoneId("z"), now_);
    See(&it);
    it.view->OnFullReadCompleted(now_);
  }

  void See(Machine* it) {
    if (it->seen == revision_) {
      return;
    }
    it->seen = revision_;
    if (owner_) {
      it->view->OnOwner(kDuty, *owner_, now_);
    } else {
      it->view->OnOwnerRemoved(kDuty, now_);
    }
  }

  void Expire() {
    if (!owner_) {
      return;
    }
    for (const Machine& it : machines_) {
      bool holds = owner_->lease == it.lease;
      if (holds && now_ >= it.lease_until) {
        owner_.reset();
        ++revision_;
        return;
      }
    }
    // Of a process that has ended: its lease runs out too.
    auto gone = dead_.find(owner_->boot.str());
    if (gone != dead_.end() && now_ >= gone->second) {
      owner_.reset();
      ++revision_;
    }
  }

  void StepMachine(int i) {
    Machine& it = machines_[i];
    if (now_ < it.frozen_until) {
      return;
    }
    bool reaches = now_ >= it.cut_until;
    if (reaches && now_ < it.lease_until && now_ - it.renewed > Millis(1500)) {
      it.renewed = now_;
      it.lease_until = now_ + kLease;
      it.valid_until = now_ + kLease;
    }
    if (reaches && now_ >= it.lease_until) {
      it.lease = ++leases_;  // Another one: without its keys.
      it.view->OnLease(it.lease);
      it.lease_until = now_ + kLease;
      it.valid_until = now_ + kLease;
      it.renewed = now_;
    }
    if (reaches && Draw(4) == 0) {
      See(&it);
    }
    if (reaches) {
      for (const OwnershipClaim& claim : it.view->TakeClaims(now_)) {
        Write(&it, claim);
      }
    }
    bool valid = now_ + Millis(300) < it.valid_until;
    int64_t fence = it.view->FencingToken(kDuty, now_);
    if (valid && fence != 0 && Draw(3) == 0) {
      Act(it, fence);
    }
  }

  void Write(Machine* it, const OwnershipClaim& claim) {
    int64_t stands = owner_ ? owner_->revision : 0;
    if (stands != claim.revision) {
      return;
    }
    ++revision_;
    owner_ = OwnerRecord{MachineId(it->name), BootId(it->boot), revision_,
                         it->lease, claim.takeover_complete};
    ++changes_;
    if (Draw(5) != 0) {  // Else the answer is lost and the watch tells.
      it->view->OnOwner(kDuty, *owner_, now_);
      it->seen = revision_;
    }
  }

  void Act(const Machine& it, int64_t fence) {
    ++acted_;
    REQUIRE(fence >= last_fence_);
    bool other = !last_machine_.empty() && last_machine_ != it.name;
    if (other) {
      REQUIRE(now_ - last_act_ >= kTurn);
      REQUIRE(fence > last_fence_);
    }
    last_fence_ = fence;
    last_machine_ = it.name;
    last_act_ = now_;
  }

  void Disturb() {
    Machine& it = machines_[Draw(kMachines)];
    switch (Draw(400)) {
      case 0:
        it.frozen_until = now_ + Millis(1000 + Draw(9000));
        break;
      case 1:
        it.cut_until = now_ + Millis(1000 + Draw(12000));
        break;
      case 2:
        dead_[it.boot] = it.lease_until;
        Boot(static_cast<int>(&it - machines_));
        break;
      default:
        break;
    }
  }

  std::mt19937_64 random_;
  Millis now_{1000};
  Machine machines_[kMachines];
  std::optional<OwnerRecord> owner_;
  std::map<std::string, Millis> dead_;  // Ended boots and their leases' ends.
  int64_t revision_ = 1;
  int boots_ = 0;
  int64_t leases_ = 0;
  int64_t last_fence_ = 0;
  std::string last_machine_;
  Millis last_act_;
  int acted_ = 0;
  int changes_ = 0;
};

}  // namespace

TEST_CASE("long runs: no two machines act on a duty within one turn",
          "[ownership][run]") {
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    INFO("seed " << seed);
    DutyRun run(seed);
    for (int i = 0; i < 20000; ++i) {
      run.Step();
    }
    REQUIRE(run.acted() > 1000);
    REQUIRE(run.changes() > 5);
  }
}

namespace {

Workspace Limited(double rate, double burst) {
  Workspace it;
  it.id = WorkspaceId("w");
  it.rate_per_s = rate;
  it.burst = burst;
  it.charges_tokens = true;
  return it;
}

}  // namespace

TEST_CASE("the keeper grants up to the rate and says how long to wait",
          "[rates]") {
  RateLimiter it(MachineId("m1"), {0, 0, 8});
  Millis now(1000);
  it.SetMembers({MachineId("m1")}, now);
  it.SetWorkspaces({Limited(1000, 1000)}, now);
  it.SetOwnedBySelf(WorkspaceId("w"), true, now);
  REQUIRE_FALSE(
      it.AcquireAsOwner(MachineId("m1"), 1, WorkspaceId("w"), 500, now)
          .granted);
  now = now + Millis(1000);
  REQUIRE(it.AcquireAsOwner(MachineId("m1"), 2, WorkspaceId("w"), 800, now)
              .granted);
  RateDecision refused =
      it.AcquireAsOwner(MachineId("m1"), 3, WorkspaceId("w"), 700, now);
  REQUIRE_FALSE(refused.granted);
  REQUIRE(refused.wait >= Millis(500));
  REQUIRE(refused.wait <= Millis(502));
}

TEST_CASE("a question asked again costs once", "[rates]") {
  RateLimiter it(MachineId("m1"), {0, 0, 8});
  Millis now(1000);
  it.SetMembers({MachineId("m1")}, now);
  it.SetWorkspaces({Limited(1000, 1000)}, now);
  it.SetOwnedBySelf(WorkspaceId("w"), true, now);
  now = now + Millis(1000);
  for (int i = 0; i < 3; ++i) {
    REQUIRE(it.AcquireAsOwner(MachineId("m2"), 9, WorkspaceId("w"), 600, now)
                .granted);
  }
  REQUIRE(it.AcquireAsOwner(MachineId("m2"), 10, WorkspaceId("w"), 400, now)
              .granted);
}

TEST_CASE("a lower limit binds at once", "[rates]") {
  RateLimiter it(MachineId("m1"), {0, 0, 8});
  Millis now(1000);
  it.SetMembers({MachineId("m1")}, now);
  it.SetWorkspaces({Limited(1000, 1000)}, now);
  it.SetOwnedBySelf(WorkspaceId("w"), true, now);
  now = now + Millis(5000);
  it.SetWorkspaces({Limited(10, 10)}, now);
  REQUIRE(
      it.AcquireAsOwner(MachineId("m1"), 1, WorkspaceId("w"), 10, now).granted);
  REQUIRE_FALSE(
      it.AcquireAsOwner(MachineId("m1"), 2, WorkspaceId("w"), 10, now).granted);
}

// Instances that ask more than the rate, with cuts between them and the keeper.
// Invariant: in any window the sum keeps to the limit with its margin.
TEST_CASE("long runs: the sum over all instances keeps to the bound",
          "[rates][run]") {
  constexpr int kInstances = 6;
  constexpr double kRate = 20000;
  constexpr double kBurst = 20000;
  const RateTolerance margin{0.1, 17000, 8};
  for (uint64_t seed = 1; seed <= 10; ++seed) {
    INFO("seed " << seed);
    std::mt19937_64 random(seed);
    auto draw = [&random](int n) {
      return std::uniform_int_distribution<int>(0, n - 1)(random);
    };
    std::vector<MachineId> members;
    members.reserve(kInstances);
    for (int i = 0; i < kInstances; ++i) {
      members.emplace_back("m" + std::to_string(i));
    }
    Millis now(1000);
    std::vector<RateLimiter> ledgers;
    ledgers.reserve(kInstances);
    for (int i = 0; i < kInstances; ++i) {
      ledgers.emplace_back(members[static_cast<size_t>(i)], margin);
      ledgers.back().SetMembers(members, now);
      ledgers.back().SetWorkspaces({Limited(kRate, kBurst)}, now);
    }
    ledgers[0].SetOwnedBySelf(WorkspaceId("w"), true, now);
    std::vector<Millis> cut_until(kInstances);
    std::vector<std::pair<Millis, double>> granted;
    uint64_t nonce = 0;
    for (int step = 0; step < 20000; ++step) {
      now = now + Millis(10);
      size_t i = static_cast<size_t>(draw(kInstances));
      bool cut = now < cut_until[i];
      if (draw(2500) == 0) {
        // Some instances lose the keeper together, for longer than a window.
        size_t cuts = 1 + static_cast<size_t>(draw(kInstances - 1));
        for (size_t j = 1; j <= cuts; ++j) {
          cut_until[j] = now + Millis(4000 + draw(10000));
        }
      }
      if (step % 40 == 0) {
        for (size_t j = 1; j < kInstances; ++j) {
          if (now >= cut_until[j]) {
            ledgers[0].OnMessageFrom(members[j], now);
            ledgers[j].OnMessageFrom(members[0], now);
          }
        }
      }
      double cost = 500 + draw(6000);
      RateDecision verdict;
      if (i == 0 || (!cut && ledgers[i].IsReachable(members[0], now))) {
        verdict = ledgers[0].AcquireAsOwner(members[i], ++nonce,
                                            WorkspaceId("w"), cost, now);
      } else {
        verdict = ledgers[i].AcquireFromLocalShare(WorkspaceId("w"), members[0],
                                                   cost, now);
      }
      if (verdict.granted) {
        granted.emplace_back(now, cost);
      }
    }
    double bound =
        (kRate * margin.window_s + kBurst) * (1 + margin.excess_ratio) +
        margin.extra_tokens;
    size_t from = 0;
    double sum = 0;
    double most = 0;
    for (const auto& [at, cost] : granted) {
      sum += cost;
      while (granted[from].first + Millis(8000) <= at) {
        sum -= granted[from].second;
        ++from;
      }
      most = std::max(most, sum);
    }
    REQUIRE(most <= bound);
    // Nor is much of the rate lost.
    REQUIRE(most >= kRate * margin.window_s * 0.9);
  }
}

}  // namespace bilberrypitch
