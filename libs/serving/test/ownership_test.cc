// Tests of resource ownership and of workspace rates over several instances
// whose leases expire.
#include "serving/ownership.h"

#include <catch2/catch.hpp>
#include <memory>
#include <random>

#include "serving/rate_limiter.h"

namespace bilberrypitch {
namespace {

constexpr Millis kTakeoverDelay{3000};
constexpr Millis kLeaseTtl{6000};
const ResourceId kResource = EngineResource(UpstreamId("engine-1"));

// A revision in the store's first era.
constexpr StoreRevision Rev(int64_t number) { return StoreRevision(0, number); }

ClusterMember MakeMember(const std::string& machine, const std::string& boot) {
  return {MachineId(machine), BootId(boot), ZoneId("z"), "127.0.0.1:1"};
}

}  // namespace

TEST_CASE("a resource id names its engine or workspace", "[ownership]") {
  REQUIRE(EngineOf(EngineResource(UpstreamId("i-1"))).str() == "i-1");
  REQUIRE(WorkspaceOf(EngineResource(UpstreamId("i-1"))).empty());
  REQUIRE(WorkspaceOf(RateResource(WorkspaceId("w"))).str() == "w");
}

TEST_CASE("a resource known to be new is taken over without delay",
          "[ownership]") {
  Ownership ownership(MakeMember("m1", "b1"), kTakeoverDelay, kLeaseTtl,
                      Millis(0));
  ownership.OnLease(1);
  ownership.OnFullReadCompleted(Millis(0));
  Millis now(10000);
  ownership.OnResource(kResource, ZoneId("z"), now);
  auto claims = ownership.TakeClaims(now);
  REQUIRE(claims.size() == 1);
  REQUIRE(claims[0].revision == Rev(0));
  ownership.OnOwner(kResource, {MachineId("m1"), BootId("b1"), Rev(7), 1}, now);
  REQUIRE(ownership.FencingToken(kResource, now) == 7);
}

TEST_CASE("taking over from another owner waits for the takeover delay",
          "[ownership]") {
  Ownership ownership(MakeMember("m1", "b1"), kTakeoverDelay, kLeaseTtl,
                      Millis(0));
  ownership.OnLease(1);
  Millis now(10000);
  ownership.OnResource(kResource, ZoneId("z"), now);
  ownership.OnOwner(kResource, {MachineId("m2"), BootId("b2"), Rev(5)}, now);
  ownership.OnFullReadCompleted(now);
  REQUIRE(ownership.TakeClaims(now + Millis(60000)).empty());
  ownership.OnOwnerRemoved(kResource, now + Millis(1000));
  now = now + Millis(20000);
  REQUIRE(ownership.TakeClaims(now).size() == 1);
  ownership.OnOwner(kResource, {MachineId("m1"), BootId("b1"), Rev(9), 1}, now);
  REQUIRE(ownership.FencingToken(kResource, now + Millis(2999)) == 0);
  REQUIRE(ownership.FencingToken(kResource, now + Millis(3300)) == 9);
}

TEST_CASE("a restarted machine takes its resources over at once",
          "[ownership]") {
  Ownership ownership(MakeMember("m1", "b2"), kTakeoverDelay, kLeaseTtl,
                      Millis(0));
  ownership.OnLease(1);
  Millis now(10000);
  ownership.OnResource(kResource, ZoneId("z"), now);
  ownership.OnOwner(kResource, {MachineId("m1"), BootId("b1"), Rev(5), 1, true},
                    now);
  ownership.OnFullReadCompleted(now);
  auto claims = ownership.TakeClaims(now);
  REQUIRE(claims.size() == 1);
  REQUIRE(claims[0].revision == Rev(5));
  REQUIRE(ownership.FencingToken(kResource, now) == 0);
  ownership.OnOwner(kResource, {MachineId("m1"), BootId("b2"), Rev(8), 1}, now);
  REQUIRE(ownership.FencingToken(kResource, now) == 8);
}

// Guards against a restarted machine that skips the takeover delay although the
// previous process was itself still waiting for it. Found by the long random
// run.
TEST_CASE("a restarted machine waits if its takeover was not complete",
          "[ownership]") {
  Ownership ownership(MakeMember("m1", "b2"), kTakeoverDelay, kLeaseTtl,
                      Millis(0));
  ownership.OnLease(2);
  Millis now(10000);
  ownership.OnResource(kResource, ZoneId("z"), now);
  ownership.OnOwner(kResource,
                    {MachineId("m1"), BootId("b1"), Rev(5), 1, false}, now);
  ownership.OnFullReadCompleted(now);
  REQUIRE(ownership.TakeClaims(now).size() == 1);
  ownership.OnOwner(kResource,
                    {MachineId("m1"), BootId("b2"), Rev(8), 2, false}, now);
  REQUIRE(ownership.FencingToken(kResource, now) == 0);
  now = now + Millis(3300);
  REQUIRE(ownership.FencingToken(kResource, now) == 8);
  auto claims = ownership.TakeClaims(now);  // Records the complete takeover.
  REQUIRE(claims.size() == 1);
  REQUIRE(claims[0].takeover_complete);
  ownership.OnOwner(kResource, {MachineId("m1"), BootId("b2"), Rev(9), 2, true},
                    now);
  REQUIRE(ownership.FencingToken(kResource, now) == 9);
}

// An engine that starts again under its id finds its owner unchanged: the owner
// key is bound to the owner's lease, not to the engine.
TEST_CASE("a resource that returns still has its owner", "[ownership]") {
  Ownership ownership(MakeMember("m1", "b1"), kTakeoverDelay, kLeaseTtl,
                      Millis(0));
  ownership.OnLease(1);
  ownership.OnFullReadCompleted(Millis(0));
  Millis now(10000);
  ownership.OnResource(kResource, ZoneId("z"), now);
  ownership.OnOwner(kResource, {MachineId("m2"), BootId("b2"), Rev(7), 2, true},
                    now);
  ownership.OnResourceRemoved(kResource);
  REQUIRE(ownership.Resources().empty());
  now = now + Millis(5000);
  ownership.OnResource(kResource, ZoneId("z"), now);
  REQUIRE(ownership.OwnerOf(kResource) != nullptr);
  REQUIRE(ownership.TakeClaims(now + Millis(60000)).empty());
}

// Only the last change of each key may be reported, so the owner of a resource
// can have come and gone unseen.
TEST_CASE("the removal of an owner that was not seen needs the takeover delay",
          "[ownership]") {
  bool resource_first = GENERATE(true, false);
  Ownership ownership(MakeMember("m1", "b1"), kTakeoverDelay, kLeaseTtl,
                      Millis(0));
  ownership.OnLease(1);
  ownership.OnFullReadCompleted(Millis(0));
  Millis now(10000);
  if (resource_first) {
    ownership.OnResource(kResource, ZoneId("z"), now);
  }
  ownership.OnOwnerRemoved(kResource, now, Rev(6));
  ownership.OnResource(kResource, ZoneId("z"), now);
  REQUIRE(ownership.TakeClaims(now).size() == 1);
  ownership.OnOwner(kResource, {MachineId("m1"), BootId("b1"), Rev(9), 1}, now);
  REQUIRE(ownership.FencingToken(kResource, now) == 0);
  REQUIRE(ownership.FencingToken(kResource, now + Millis(3300)) == 9);
}

TEST_CASE("an old removal does not end a newer ownership", "[ownership]") {
  Ownership ownership(MakeMember("m1", "b1"), kTakeoverDelay, kLeaseTtl,
                      Millis(0));
  ownership.OnLease(1);
  ownership.OnFullReadCompleted(Millis(0));
  Millis now(10000);
  ownership.OnResource(kResource, ZoneId("z"), now);
  ownership.OnOwner(kResource, {MachineId("m1"), BootId("b1"), Rev(9), 1, true},
                    now);
  ownership.OnOwnerRemoved(kResource, now, Rev(8));
  REQUIRE(ownership.FencingToken(kResource, now) == 9);
  ownership.OnOwnerRemoved(kResource, now, Rev(10));
  REQUIRE(ownership.FencingToken(kResource, now) == 0);
}

// Guards against a new lease that gives back what was lost with the old one.
// Found by the long random run.
TEST_CASE("ownership ends with the lease that it was acquired with",
          "[ownership]") {
  Ownership ownership(MakeMember("m1", "b1"), kTakeoverDelay, kLeaseTtl,
                      Millis(0));
  ownership.OnLease(1);
  ownership.OnFullReadCompleted(Millis(0));
  Millis now(10000);
  ownership.OnResource(kResource, ZoneId("z"), now);
  ownership.OnOwner(kResource, {MachineId("m1"), BootId("b1"), Rev(7), 1, true},
                    now);
  REQUIRE(ownership.FencingToken(kResource, now) == 7);
  ownership.OnLease(2);
  REQUIRE(ownership.FencingToken(kResource, now) == 0);
}

namespace {

// Simulates machines that claim one resource in a store with leases. The
// machines freeze, are partitioned from the store and restart; store events
// reach them late. Invariants: the fencing token rises with each owner, and two
// machines never act within one takeover delay.
class OwnershipSimulation {
 public:
  explicit OwnershipSimulation(uint64_t seed) : rng_(seed) {
    for (int i = 0; i < kMachines; ++i) {
      Start(i);
    }
  }

  void Step() {
    now_ = now_ + Millis(50);
    ExpireOwner();
    for (int i = 0; i < kMachines; ++i) {
      StepMachine(i);
    }
    InjectFault();
  }

  int action_count() const { return action_count_; }
  int owner_changes() const { return owner_changes_; }

 private:
  static constexpr int kMachines = 3;

  struct Machine {
    std::string name;
    std::string boot;
    int64_t lease = 0;
    std::unique_ptr<Ownership> ownership;
    Millis store_expiry;  // Expiry as the store counts.
    Millis local_expiry;  // Expiry as the machine counts.
    Millis frozen_until;
    Millis partitioned_until;
    Millis renewed_at;
    int64_t seen_revision = 0;  // Store revision that the machine has seen.
  };

  int RandomBelow(int bound) {
    return std::uniform_int_distribution<int>(0, bound - 1)(rng_);
  }

  void Start(int i) {
    Machine& machine = machines_[i];
    machine.name = "m" + std::to_string(i);
    machine.boot = "b" + std::to_string(++boot_count_);
    machine.ownership =
        std::make_unique<Ownership>(MakeMember(machine.name, machine.boot),
                                    kTakeoverDelay, kLeaseTtl, now_);
    machine.lease = ++lease_count_;
    machine.ownership->OnLease(machine.lease);
    machine.store_expiry = now_ + kLeaseTtl;
    machine.local_expiry = now_ + kLeaseTtl;
    machine.renewed_at = now_;
    machine.seen_revision = 0;
    for (int j = 0; j < kMachines; ++j) {
      machine.ownership->OnMember(MakeMember("m" + std::to_string(j), "b"));
    }
    machine.ownership->OnResource(kResource, ZoneId("z"), now_);
    DeliverOwner(&machine);
    machine.ownership->OnFullReadCompleted(now_);
  }

  void DeliverOwner(Machine* machine) {
    if (machine->seen_revision == revision_) {
      return;
    }
    machine->seen_revision = revision_;
    if (owner_) {
      machine->ownership->OnOwner(kResource, *owner_, now_);
    } else {
      machine->ownership->OnOwnerRemoved(kResource, now_);
    }
  }

  void ExpireOwner() {
    if (!owner_) {
      return;
    }
    for (const Machine& machine : machines_) {
      bool is_owner = owner_->lease == machine.lease;
      if (is_owner && now_ >= machine.store_expiry) {
        owner_.reset();
        ++revision_;
        return;
      }
    }
    // The lease of a process that has ended expires too.
    auto ended = ended_boots_.find(owner_->boot.str());
    if (ended != ended_boots_.end() && now_ >= ended->second) {
      owner_.reset();
      ++revision_;
    }
  }

  void StepMachine(int i) {
    Machine& machine = machines_[i];
    if (now_ < machine.frozen_until) {
      return;
    }
    bool connected = now_ >= machine.partitioned_until;
    if (connected && now_ < machine.store_expiry &&
        now_ - machine.renewed_at > Millis(1500)) {
      machine.renewed_at = now_;
      machine.store_expiry = now_ + kLeaseTtl;
      machine.local_expiry = now_ + kLeaseTtl;
    }
    if (connected && now_ >= machine.store_expiry) {
      machine.lease = ++lease_count_;  // A new lease, which holds no keys.
      machine.ownership->OnLease(machine.lease);
      machine.store_expiry = now_ + kLeaseTtl;
      machine.local_expiry = now_ + kLeaseTtl;
      machine.renewed_at = now_;
    }
    if (connected && RandomBelow(4) == 0) {
      DeliverOwner(&machine);
    }
    if (connected) {
      for (const OwnershipClaim& claim : machine.ownership->TakeClaims(now_)) {
        WriteClaim(&machine, claim);
      }
    }
    bool valid = now_ + Millis(300) < machine.local_expiry;
    int64_t token = machine.ownership->FencingToken(kResource, now_);
    if (valid && token != 0 && RandomBelow(3) == 0) {
      ActAsOwner(machine, token);
    }
  }

  void WriteClaim(Machine* machine, const OwnershipClaim& claim) {
    StoreRevision current_revision =
        owner_ ? owner_->revision : StoreRevision();
    if (current_revision != claim.revision) {
      return;
    }
    ++revision_;
    owner_ =
        OwnerRecord{MachineId(machine->name), BootId(machine->boot),
                    Rev(revision_), machine->lease, claim.takeover_complete};
    ++owner_changes_;
    // One of five responses is lost; then the watch reports the write.
    if (RandomBelow(5) != 0) {
      machine->ownership->OnOwner(kResource, *owner_, now_);
      machine->seen_revision = revision_;
    }
  }

  void ActAsOwner(const Machine& machine, int64_t token) {
    ++action_count_;
    REQUIRE(token >= last_token_);
    bool other_machine =
        !last_machine_.empty() && last_machine_ != machine.name;
    if (other_machine) {
      REQUIRE(now_ - last_action_at_ >= kTakeoverDelay);
      REQUIRE(token > last_token_);
    }
    last_token_ = token;
    last_machine_ = machine.name;
    last_action_at_ = now_;
  }

  void InjectFault() {
    Machine& machine = machines_[RandomBelow(kMachines)];
    switch (RandomBelow(400)) {
      case 0:
        machine.frozen_until = now_ + Millis(1000 + RandomBelow(9000));
        break;
      case 1:
        machine.partitioned_until = now_ + Millis(1000 + RandomBelow(12000));
        break;
      case 2:
        ended_boots_[machine.boot] = machine.store_expiry;
        Start(static_cast<int>(&machine - machines_));
        break;
      default:
        break;
    }
  }

  std::mt19937_64 rng_;
  Millis now_{1000};
  Machine machines_[kMachines];
  std::optional<OwnerRecord> owner_;
  // Ended boots and the expiry of their leases.
  std::map<std::string, Millis> ended_boots_;
  int64_t revision_ = 1;
  int boot_count_ = 0;
  int64_t lease_count_ = 0;
  int64_t last_token_ = 0;
  std::string last_machine_;
  Millis last_action_at_;
  int action_count_ = 0;
  int owner_changes_ = 0;
};

}  // namespace

TEST_CASE("long random runs: no two machines act within one takeover delay",
          "[ownership][run]") {
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    INFO("seed " << seed);
    OwnershipSimulation simulation(seed);
    for (int i = 0; i < 20000; ++i) {
      simulation.Step();
    }
    REQUIRE(simulation.action_count() > 1000);
    REQUIRE(simulation.owner_changes() > 5);
  }
}

namespace {

Workspace MakeLimitedWorkspace(double rate, double burst) {
  Workspace workspace;
  workspace.id = WorkspaceId("w");
  workspace.rate_per_s = rate;
  workspace.burst = burst;
  workspace.charges_tokens = true;
  return workspace;
}

}  // namespace

TEST_CASE("the owner grants up to the rate and returns the time to wait",
          "[rates]") {
  RateLimiter limiter(MachineId("m1"), {0, 0, 8});
  Millis now(1000);
  limiter.SetMembers({MachineId("m1")}, now);
  limiter.SetWorkspaces({MakeLimitedWorkspace(1000, 1000)}, now);
  limiter.SetOwnedBySelf(WorkspaceId("w"), true, now);
  REQUIRE_FALSE(
      limiter.AcquireAsOwner(MachineId("m1"), 1, WorkspaceId("w"), 500, now)
          .granted);
  now = now + Millis(1000);
  REQUIRE(limiter.AcquireAsOwner(MachineId("m1"), 2, WorkspaceId("w"), 800, now)
              .granted);
  RateDecision rejected =
      limiter.AcquireAsOwner(MachineId("m1"), 3, WorkspaceId("w"), 700, now);
  REQUIRE_FALSE(rejected.granted);
  REQUIRE(rejected.wait >= Millis(500));
  REQUIRE(rejected.wait <= Millis(502));
}

TEST_CASE("a retried rate request is charged once", "[rates]") {
  RateLimiter limiter(MachineId("m1"), {0, 0, 8});
  Millis now(1000);
  limiter.SetMembers({MachineId("m1")}, now);
  limiter.SetWorkspaces({MakeLimitedWorkspace(1000, 1000)}, now);
  limiter.SetOwnedBySelf(WorkspaceId("w"), true, now);
  now = now + Millis(1000);
  for (int i = 0; i < 3; ++i) {
    REQUIRE(
        limiter.AcquireAsOwner(MachineId("m2"), 9, WorkspaceId("w"), 600, now)
            .granted);
  }
  REQUIRE(
      limiter.AcquireAsOwner(MachineId("m2"), 10, WorkspaceId("w"), 400, now)
          .granted);
}

TEST_CASE("a lowered limit applies at once", "[rates]") {
  RateLimiter limiter(MachineId("m1"), {0, 0, 8});
  Millis now(1000);
  limiter.SetMembers({MachineId("m1")}, now);
  limiter.SetWorkspaces({MakeLimitedWorkspace(1000, 1000)}, now);
  limiter.SetOwnedBySelf(WorkspaceId("w"), true, now);
  now = now + Millis(5000);
  limiter.SetWorkspaces({MakeLimitedWorkspace(10, 10)}, now);
  REQUIRE(limiter.AcquireAsOwner(MachineId("m1"), 1, WorkspaceId("w"), 10, now)
              .granted);
  REQUIRE_FALSE(
      limiter.AcquireAsOwner(MachineId("m1"), 2, WorkspaceId("w"), 10, now)
          .granted);
}

// The instances request more than the rate and are at times partitioned from
// the owner. Invariant: in any window the granted sum stays within the limit
// and its tolerance.
TEST_CASE("long random runs: the sum over all instances stays within the bound",
          "[rates][run]") {
  constexpr int kInstances = 6;
  constexpr double kRate = 20000;   // Tokens per second.
  constexpr double kBurst = 20000;  // Tokens.
  const RateTolerance tolerance{0.1, 17000, 8};
  for (uint64_t seed = 1; seed <= 10; ++seed) {
    INFO("seed " << seed);
    std::mt19937_64 rng(seed);
    auto random_below = [&rng](int limit) {
      return std::uniform_int_distribution<int>(0, limit - 1)(rng);
    };
    std::vector<MachineId> members;
    members.reserve(kInstances);
    for (int i = 0; i < kInstances; ++i) {
      members.emplace_back("m" + std::to_string(i));
    }
    Millis now(1000);
    std::vector<RateLimiter> limiters;
    limiters.reserve(kInstances);
    for (int i = 0; i < kInstances; ++i) {
      limiters.emplace_back(members[static_cast<size_t>(i)], tolerance);
      limiters.back().SetMembers(members, now);
      limiters.back().SetWorkspaces({MakeLimitedWorkspace(kRate, kBurst)}, now);
    }
    limiters[0].SetOwnedBySelf(WorkspaceId("w"), true, now);
    std::vector<Millis> partitioned_until(kInstances);
    std::vector<std::pair<Millis, double>> grants;
    uint64_t nonce = 0;
    for (int step = 0; step < 20000; ++step) {
      now = now + Millis(10);
      size_t i = static_cast<size_t>(random_below(kInstances));
      bool partitioned = now < partitioned_until[i];
      if (random_below(2500) == 0) {
        // Some instances lose the owner together, possibly for longer than a
        // window.
        size_t partitioned_count =
            1 + static_cast<size_t>(random_below(kInstances - 1));
        for (size_t j = 1; j <= partitioned_count; ++j) {
          partitioned_until[j] = now + Millis(4000 + random_below(10000));
        }
      }
      if (step % 40 == 0) {
        for (size_t j = 1; j < kInstances; ++j) {
          if (now >= partitioned_until[j]) {
            limiters[0].OnMessageFrom(members[j], now);
            limiters[j].OnMessageFrom(members[0], now);
          }
        }
      }
      double cost = 500 + random_below(6000);
      RateDecision decision;
      if (i == 0 ||
          (!partitioned && limiters[i].IsReachable(members[0], now))) {
        decision = limiters[0].AcquireAsOwner(members[i], ++nonce,
                                              WorkspaceId("w"), cost, now);
      } else {
        decision = limiters[i].AcquireFromLocalShare(WorkspaceId("w"),
                                                     members[0], cost, now);
      }
      if (decision.granted) {
        grants.emplace_back(now, cost);
      }
    }
    double bound =
        (kRate * tolerance.window_s + kBurst) * (1 + tolerance.excess_ratio) +
        tolerance.extra_tokens;
    size_t window_start = 0;
    double sum = 0;
    double max_sum = 0;
    for (const auto& [at, cost] : grants) {
      sum += cost;
      while (grants[window_start].first + Millis(8000) <= at) {
        sum -= grants[window_start].second;
        ++window_start;
      }
      max_sum = std::max(max_sum, sum);
    }
    REQUIRE(max_sum <= bound);
    // Little of the rate is lost.
    REQUIRE(max_sum >= kRate * tolerance.window_s * 0.9);
  }
}

}  // namespace bilberrypitch
