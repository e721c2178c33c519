// Tests of resource ownership while the store comes back from earlier copies.
#include <algorithm>
#include <array>
#include <catch2/catch.hpp>
#include <cstdlib>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "serving/fencing_token.h"
#include "serving/ownership.h"

namespace bilberrypitch {
namespace {

constexpr Millis kTakeoverDelay{3000};
constexpr Millis kLeaseTtl{6000};
const ResourceId kResource = EngineResource(UpstreamId("engine-1"));

ClusterMember MakeMember(const std::string& machine, const std::string& boot) {
  return {MachineId(machine), BootId(boot), ZoneId("z"), "127.0.0.1:1"};
}

OwnerRecord MakeOwner(const std::string& machine, StoreRevision revision,
                      int64_t lease) {
  return {MachineId(machine), BootId("b"), revision, lease, true};
}

// Machine "m1" owns kResource since revision 305 of era 0, under lease 1, and
// may act.
Ownership MakeOwningMachine(Millis now) {
  Ownership ownership(MakeMember("m1", "b"), kTakeoverDelay, kLeaseTtl,
                      Millis(0));
  ownership.OnLease(1);
  ownership.OnFullReadCompleted(Millis(0));
  ownership.OnResource(kResource, ZoneId("z"), now);
  ownership.OnOwner(kResource, MakeOwner("m1", {0, 305}, 1), now);
  REQUIRE(ownership.FencingToken(kResource, now) == 305);
  return ownership;
}

}  // namespace

// Guards against: engines reject the orders of an owner in a restored store.
TEST_CASE("fencing tokens rise over eras", "[ownership][era]") {
  REQUIRE(ToFencingToken({0, 41}) == 41);
  REQUIRE(ToFencingToken({1, 1}) > ToFencingToken({0, kMaxFencingNumber}));
  REQUIRE(ToFencingToken({2, 7}) > ToFencingToken({1, 300}));
  int64_t highest = ToFencingToken({kMaxFencingEra, kMaxFencingNumber});
  REQUIRE(highest == (int64_t{1} << kFencingTokenBits) - 1);
  REQUIRE(ToFencingToken({kMaxFencingEra + 1, 1}) == 0);
  REQUIRE(ToFencingToken({0, kMaxFencingNumber + 1}) == 0);
}

// Guards against: engines stand without orders for the takeover delay although
// their owner never lost touch.
TEST_CASE("an owner with a valid lease goes on at once in a new era",
          "[ownership][era]") {
  const bool copy_has_key = GENERATE(false, true);
  CAPTURE(copy_has_key);
  Millis now(10000);
  Ownership ownership = MakeOwningMachine(now);
  REQUIRE(ownership.OnEra(1, now + Millis(4000), now));
  REQUIRE(ownership.FencingToken(kResource, now) == 0);
  ownership.OnLease(1);  // The id is given out again.
  REQUIRE(ownership.FencingToken(kResource, now) == 0);
  // The state of the key isn't known yet.
  auto claims = ownership.TakeClaims(now);
  REQUIRE(claims.size() == 1);
  REQUIRE(claims[0].revision == StoreRevision());
  int64_t lease = 1;
  if (copy_has_key) {
    lease = 2;
    ownership.OnLease(lease);
    ownership.OnOwner(kResource, MakeOwner("m1", {1, 305}, 1), now);
    claims = ownership.TakeClaims(now);
    REQUIRE(claims.size() == 1);
    REQUIRE(claims[0].revision == StoreRevision(1, 305));
  }
  ownership.OnOwner(kResource, MakeOwner("m1", {1, 306}, lease), now);
  REQUIRE(ownership.FencingToken(kResource, now) == ToFencingToken({1, 306}));
}

// Guards against: an owner whose lease was over goes on as if nobody had acted
// in between.
TEST_CASE("an owner without a valid lease takes over anew in a new era",
          "[ownership][era]") {
  const bool copy_has_key = GENERATE(false, true);
  CAPTURE(copy_has_key);
  Millis now(10000);
  Ownership ownership = MakeOwningMachine(now);
  Millis lease_ended = now - Millis(1);
  REQUIRE(ownership.OnEra(1, lease_ended, now));
  const int64_t lease = copy_has_key ? 2 : 1;  // An id that is free again.
  ownership.OnLease(lease);
  if (copy_has_key) {
    ownership.OnOwner(kResource, MakeOwner("m1", {1, 305}, 1), now);
  }
  ownership.OnOwner(kResource, MakeOwner("m1", {1, 306}, lease), now);
  Millis earlier_owner_ends = now + kLeaseTtl;
  REQUIRE(ownership.FencingToken(kResource,
                                 earlier_owner_ends + kTakeoverDelay) == 0);
  REQUIRE(ownership.FencingToken(
              kResource, earlier_owner_ends + kTakeoverDelay + Millis(300)) ==
          ToFencingToken({1, 306}));
}

// Guards against: a claim names a number that the store has given out again for
// another write.
TEST_CASE("news of an earlier era doesn't count", "[ownership][era]") {
  Millis now(10000);
  Ownership ownership = MakeOwningMachine(now);
  ownership.OnEra(1, now + Millis(4000), now);
  ownership.OnLease(2);
  ownership.OnOwner(kResource, MakeOwner("m2", {1, 20}, 3), now);
  ownership.OnOwner(kResource, MakeOwner("m1", {0, 306}, 2), now);
  ownership.OnOwnerRemoved(kResource, now, {0, 400});
  REQUIRE(ownership.OwnerOf(kResource)->machine == MachineId("m2"));
  REQUIRE(ownership.TakeClaims(now + Millis(60000)).empty());
  ownership.OnOwnerRemoved(kResource, now, {1, 21});
  ownership.OnOwner(kResource, MakeOwner("m1", {0, 306}, 2), now);
  REQUIRE(ownership.OwnerOf(kResource) == nullptr);
}

// Guards against: an owner goes on although another machine had the resource in
// the new era.
TEST_CASE("an owner doesn't go on after another one of the new era",
          "[ownership][era]") {
  Millis now(10000);
  Ownership ownership = MakeOwningMachine(now);
  ownership.OnEra(1, now + Millis(4000), now);
  ownership.OnLease(2);
  ownership.OnOwner(kResource, MakeOwner("m2", {1, 20}, 3), now);
  ownership.OnOwnerRemoved(kResource, now, {1, 21});
  ownership.OnOwner(kResource, MakeOwner("m1", {1, 22}, 2), now);
  REQUIRE(ownership.FencingToken(kResource, now + kTakeoverDelay) == 0);
}

// Guards against: a resource counts as new in a restored store, although an
// owner that the store has lost may still act.
TEST_CASE("a resource that appears around a new era isn't taken at once",
          "[ownership][era]") {
  const bool before_era = GENERATE(false, true);
  CAPTURE(before_era);
  Millis now(10000);
  Ownership ownership(MakeMember("m1", "b"), kTakeoverDelay, kLeaseTtl,
                      Millis(0));
  ownership.OnFullReadCompleted(Millis(0));
  if (before_era) {
    ownership.OnResource(kResource, ZoneId("z"), now);
  }
  ownership.OnEra(1, Millis(0), now);
  ownership.OnLease(2);
  now = now + Millis(1000);
  ownership.OnResource(kResource, ZoneId("z"), now);
  ownership.OnOwner(kResource, MakeOwner("m1", {1, 5}, 2), now);
  REQUIRE(ownership.FencingToken(kResource, now + kTakeoverDelay) == 0);
}

// Guards against: other machines claim first, so that the engine stands without
// orders although its owner could go on.
TEST_CASE("the earlier owner claims before others in a new era",
          "[ownership][era]") {
  Millis now(10000);
  Ownership ownership(MakeMember("m1", "b"), kTakeoverDelay, kLeaseTtl,
                      Millis(0));
  ownership.OnFullReadCompleted(Millis(0));
  ownership.OnResource(kResource, ZoneId("z"), now);
  ownership.OnOwner(kResource, MakeOwner("m2", {0, 305}, 1), now);
  ownership.OnEra(1, now + Millis(4000), now);
  ownership.OnLease(2);
  REQUIRE(ownership.TakeClaims(now).empty());
  ownership.OnOwnerRemoved(kResource, now, {1, 20});
  REQUIRE(ownership.TakeClaims(now + Millis(500)).empty());
  REQUIRE(ownership.TakeClaims(now + Millis(2000)).size() == 1);
}

// Guards against: a claim of an earlier era that the store executes late passes
// for one that nobody else came before.
TEST_CASE("a late claim of an earlier era waits for the takeover delay",
          "[ownership][era]") {
  const bool has_other_owner = GENERATE(false, true);
  CAPTURE(has_other_owner);
  Millis now(10 * 1000);
  Ownership ownership(MakeMember("m1", "b"), kTakeoverDelay, kLeaseTtl,
                      Millis(0));
  ownership.OnLease(1);
  ownership.OnFullReadCompleted(Millis(0));
  ownership.OnResource(kResource, ZoneId("z"), now);
  ownership.OnOwner(kResource, MakeOwner("m2", {0, 130}, 2), now);
  REQUIRE(ownership.OnEra(1, now + Millis(4000), now));
  ownership.OnFullReadStarted();
  ownership.OnOwnerRemoved(kResource, now, {1, 120});
  if (has_other_owner) {
    ownership.OnOwner(kResource, MakeOwner("m2", {1, 130}, 3), now);
  }
  ownership.OnFullReadCompleted(now);
  ownership.OnLease(9);
  now = now + Millis(500);
  ownership.OnOwner(kResource, MakeOwner("m1", {1, 140}, 1), now);
  std::vector<OwnershipClaim> claims = ownership.TakeClaims(now);
  REQUIRE(claims.size() == 1);
  REQUIRE_FALSE(claims[0].takeover_complete);
  OwnerRecord claimed = MakeOwner("m1", {1, 141}, 9);
  claimed.takeover_complete = claims[0].takeover_complete;
  ownership.OnOwner(kResource, claimed, now);
  REQUIRE(ownership.FencingToken(kResource, now) == 0);
  REQUIRE(ownership.ActiveFrom(kResource) >= now + kTakeoverDelay);
}

// Guards against: a process believes a copy that its machine has just held the
// resource, though another machine held it since.
TEST_CASE("a restarted machine doesn't rely on a key of a copy",
          "[ownership][era]") {
  Millis now(10000);
  Ownership ownership(MakeMember("m1", "b2"), kTakeoverDelay, kLeaseTtl, now);
  ownership.OnEra(1, Millis(0), now);
  ownership.OnLease(7);
  ownership.OnResource(kResource, ZoneId("z"), now);
  ownership.OnOwnerRemoved(kResource, now, {0, 4});
  ownership.OnOwner(kResource, MakeOwner("m1", {1, 5}, 1), now);
  ownership.OnFullReadCompleted(now);
  auto claims = ownership.TakeClaims(now);
  REQUIRE(claims.size() == 1);
  REQUIRE(claims[0].revision == StoreRevision(1, 5));
  REQUIRE_FALSE(claims[0].takeover_complete);
  ownership.OnOwner(kResource,
                    {MachineId("m1"), BootId("b2"), {1, 6}, 7, false}, now);
  REQUIRE(ownership.FencingToken(kResource, now + kTakeoverDelay) == 0);
}

namespace {

// Simulates machines that claim engines in a store that comes back from earlier
// copies. Revisions and ids of leases are given out again. Machines freeze, are
// cut off and restart; claims are lost or executed late; machines read the
// store late, or take the view of another machine, which may be of an earlier
// era. Invariants: the fencing tokens of an engine rise, and two machines never
// act on it within one takeover delay.
class RestoredStoreSimulation {
 public:
  explicit RestoredStoreSimulation(uint64_t seed) : rng_(seed) {
    for (int i = 0; i < kEngines; ++i) {
      engines_[EngineResource(UpstreamId("e" + std::to_string(i)))] = {};
    }
    for (Machine& machine : machines_) {
      machine.name = "m" + std::to_string(&machine - machines_.data());
      Start(&machine);
    }
  }

  void Step(bool calm) {
    now_ = now_ + Millis(50);
    StepStore(calm);
    for (Machine& machine : machines_) {
      StepMachine(&machine, calm);
    }
    if (!calm) {
      InjectFault();
    }
  }

  // Whether each engine has an owner that may act, on which all agree.
  bool HasConverged() const {
    for (const auto& [resource, engine] : engines_) {
      int active = 0;
      for (const Machine& machine : machines_) {
        bool valid = now_ < machine.lease_valid_until;
        int64_t token = machine.ownership->FencingToken(resource, now_);
        active += valid && token != 0 ? 1 : 0;
        const OwnerRecord* owner = machine.ownership->OwnerOf(resource);
        bool agrees = owner != nullptr && data_.owners.count(resource) > 0 &&
                      owner->machine == data_.owners.at(resource).machine;
        if (!agrees) {
          return false;
        }
      }
      if (active != 1) {
        return false;
      }
    }
    return true;
  }

  int restorations() const { return restorations_; }
  int actions() const { return actions_; }
  int owner_changes() const { return owner_changes_; }

 private:
  static constexpr size_t kMachines = 4;
  static constexpr int kEngines = 3;
  static constexpr Millis kLeaseMargin{300};
  static constexpr Millis kRenewPeriod{1500};
  static constexpr Millis kCopyPeriod{500};
  static constexpr size_t kMaxCopies = 16;

  struct Lease {
    Millis expires_at;
  };
  // What the store loses.
  struct Data {
    std::map<ResourceId, OwnerRecord> owners;  // Revisions without era.
    std::map<int64_t, Lease> leases;
    int64_t revision = 0;
    int64_t last_lease = 0;
  };
  struct Engine {
    Millis missing_until;  // Its entry isn't written again yet.
    int64_t last_token = 0;
    std::string last_machine;
    Millis last_action_at;
  };
  struct Machine {
    std::string name;
    std::string boot;
    std::unique_ptr<Ownership> ownership;
    int64_t lease = 0;
    Millis lease_valid_until;  // As the machine counts, with the margin.
    Millis renewed_at;
    Millis frozen_until;
    Millis cut_until;
    // View of the store.
    Data view;
    StoreRevision view_revision{-1, 0};
  };
  // A claim on its way.
  struct LateClaim {
    Millis at;
    std::string machine;
    std::string boot;
    int64_t lease = 0;
    OwnershipClaim claim;
  };

  int RandomBelow(int bound) {
    return std::uniform_int_distribution<int>(0, bound - 1)(rng_);
  }
  bool OneIn(int n) { return RandomBelow(n) == 0; }
  bool StoreResponds() const { return now_ >= store_away_until_; }

  void Start(Machine* machine) {
    machine->boot = "b" + std::to_string(++boots_);
    machine->ownership =
        std::make_unique<Ownership>(MakeMember(machine->name, machine->boot),
                                    kTakeoverDelay, kLeaseTtl, now_);
    machine->lease = 0;
    machine->lease_valid_until = Millis(0);
    machine->view = {};
    machine->view_revision = StoreRevision(-1, 0);
    for (size_t i = 0; i < kMachines; ++i) {
      machine->ownership->OnMember(MakeMember("m" + std::to_string(i), "b"));
    }
  }

  void StepStore(bool calm) {
    if (store_away_until_ != Millis(0) && StoreResponds()) {
      Restore();
      store_away_until_ = Millis(0);
    }
    if (!StoreResponds()) {
      return;
    }
    ExpireLeases();
    ExecuteLateClaims();
    if (now_ >= next_copy_at_) {
      next_copy_at_ = now_ + kCopyPeriod;
      copies_.push_back(data_);
      if (copies_.size() > kMaxCopies) {
        copies_.pop_front();
      }
    }
    if (!calm && OneIn(500)) {
      store_away_until_ = now_ + Millis(100 + RandomBelow(2000));
    }
  }

  void Restore() {
    size_t age =
        static_cast<size_t>(RandomBelow(static_cast<int>(copies_.size())));
    data_ = copies_[copies_.size() - 1 - age];
    copies_.clear();
    copies_.push_back(data_);
    ++era_;
    ++restorations_;
    for (auto& [id, lease] : data_.leases) {
      lease.expires_at = now_ + kLeaseTtl;
    }
    for (auto& [resource, engine] : engines_) {
      if (OneIn(2)) {
        engine.missing_until = now_ + Millis(RandomBelow(2000));
      }
    }
  }

  void ExpireLeases() {
    std::erase_if(data_.leases, [&](const auto& entry) {
      if (now_ < entry.second.expires_at) {
        return false;
      }
      size_t removed = std::erase_if(data_.owners, [&](const auto& owner) {
        return owner.second.lease == entry.first;
      });
      data_.revision += static_cast<int64_t>(removed);
      return true;
    });
  }

  void StepMachine(Machine* machine, bool calm) {
    if (now_ < machine->frozen_until) {
      return;
    }
    bool connected = StoreResponds() && now_ >= machine->cut_until;
    if (connected) {
      KeepLease(machine);
    }
    if (connected && OneIn(4)) {
      TakeView(machine, data_, StoreRevision(era_, data_.revision));
    } else if (OneIn(20)) {
      const Machine& other = machines_[static_cast<size_t>(
          RandomBelow(static_cast<int>(kMachines)))];
      if (other.view_revision > machine->view_revision) {
        TakeView(machine, other.view, other.view_revision);
      }
    }
    if (machine->lease != 0 && now_ >= machine->cut_until) {
      for (const OwnershipClaim& claim : machine->ownership->TakeClaims(now_)) {
        SendClaim(machine, claim, calm);
      }
    }
    for (auto& [resource, engine] : engines_) {
      int64_t token = machine->ownership->FencingToken(resource, now_);
      bool may_act = token != 0 && now_ < machine->lease_valid_until;
      if (may_act && OneIn(3)) {
        Act(*machine, &engine, token);
      }
    }
  }

  // A response of the store states its era.
  void SeeEra(Machine* machine, int64_t era) {
    if (machine->ownership->OnEra(era, machine->lease_valid_until, now_)) {
      machine->lease = 0;
      machine->lease_valid_until = Millis(0);
    }
  }

  void KeepLease(Machine* machine) {
    if (machine->lease != 0 && now_ - machine->renewed_at < kRenewPeriod) {
      return;
    }
    SeeEra(machine, era_);
    machine->renewed_at = now_;
    bool held = machine->lease != 0 && data_.leases.count(machine->lease) > 0;
    if (!held) {
      machine->lease = ++data_.last_lease;
      machine->ownership->OnLease(machine->lease);
    }
    data_.leases[machine->lease] = {now_ + kLeaseTtl};
    machine->lease_valid_until = now_ + kLeaseTtl - kLeaseMargin;
  }

  void TakeView(Machine* machine, const Data& data, StoreRevision revision) {
    SeeEra(machine, revision.era);
    Ownership* ownership = machine->ownership.get();
    bool full_read = revision.era != machine->view_revision.era;
    if (full_read) {
      ownership->OnFullReadStarted();
    }
    for (const auto& [resource, engine] : engines_) {
      if (now_ >= engine.missing_until) {
        ownership->OnResource(resource, ZoneId("z"), now_);
      } else {
        ownership->OnResourceRemoved(resource);
      }
      auto owner = data.owners.find(resource);
      if (owner != data.owners.end()) {
        OwnerRecord record = owner->second;
        record.revision.era = revision.era;
        ownership->OnOwner(resource, record, now_);
      } else if (full_read || machine->view.owners.count(resource) > 0) {
        ownership->OnOwnerRemoved(resource, now_, revision);
      }
    }
    if (full_read) {
      ownership->OnFullReadCompleted(now_);
    }
    machine->view = data;
    machine->view_revision = revision;
  }

  void SendClaim(Machine* machine, const OwnershipClaim& claim, bool calm) {
    LateClaim sent{now_, machine->name, machine->boot, machine->lease, claim};
    if (!calm && (OneIn(10) || !StoreResponds())) {
      sent.at = now_ + Millis(RandomBelow(4000));
      late_claims_.push_back(sent);
      return;
    }
    if (!StoreResponds()) {
      return;
    }
    std::optional<OwnerRecord> owner = Execute(sent);
    bool response_lost = !calm && OneIn(5);
    if (response_lost) {
      return;
    }
    SeeEra(machine, era_);
    auto current = data_.owners.find(claim.resource);
    if (owner || current != data_.owners.end()) {
      OwnerRecord record = owner ? *owner : current->second;
      record.revision.era = era_;
      machine->ownership->OnOwner(claim.resource, record, now_);
    }
  }

  void ExecuteLateClaims() {
    for (const LateClaim& late : late_claims_) {
      if (late.at <= now_) {
        Execute(late);
      }
    }
    std::erase_if(late_claims_,
                  [&](const LateClaim& late) { return late.at <= now_; });
  }

  // Returns the record that was written; none if a condition didn't hold.
  std::optional<OwnerRecord> Execute(const LateClaim& sent) {
    auto current = data_.owners.find(sent.claim.resource);
    int64_t number =
        current == data_.owners.end() ? 0 : current->second.revision.number;
    if (number != sent.claim.revision.number ||
        data_.leases.count(sent.lease) == 0) {
      return std::nullopt;
    }
    OwnerRecord owner{MachineId(sent.machine),
                      BootId(sent.boot),
                      {0, ++data_.revision},
                      sent.lease,
                      sent.claim.takeover_complete};
    data_.owners[sent.claim.resource] = owner;
    ++owner_changes_;
    return owner;
  }

  void Act(const Machine& machine, Engine* engine, int64_t token) {
    ++actions_;
    REQUIRE(token >= engine->last_token);
    bool other_machine =
        !engine->last_machine.empty() && engine->last_machine != machine.name;
    if (other_machine) {
      REQUIRE(now_ - engine->last_action_at >= kTakeoverDelay);
      REQUIRE(token > engine->last_token);
    }
    engine->last_token = token;
    engine->last_machine = machine.name;
    engine->last_action_at = now_;
  }

  void InjectFault() {
    Machine& machine = machines_[static_cast<size_t>(
        RandomBelow(static_cast<int>(kMachines)))];
    switch (RandomBelow(400)) {
      case 0:
        machine.frozen_until = now_ + Millis(1000 + RandomBelow(9000));
        break;
      case 1:
      case 2:
        machine.cut_until = now_ + Millis(1000 + RandomBelow(12000));
        break;
      case 3:
        Start(&machine);
        break;
      default:
        break;
    }
  }

  std::mt19937_64 rng_;
  Millis now_{1000};
  std::array<Machine, kMachines> machines_;
  std::map<ResourceId, Engine> engines_;
  Data data_;
  int64_t era_ = 0;
  std::deque<Data> copies_{Data()};
  Millis next_copy_at_;
  Millis store_away_until_;
  std::vector<LateClaim> late_claims_;
  int boots_ = 0;
  int restorations_ = 0;
  int actions_ = 0;
  int owner_changes_ = 0;
};

// Number of seeds; more by hand.
int SeedCount() {
  constexpr int kDefault = 60;
  const char* text = std::getenv("BILBERRYPITCH_ERA_SEEDS");
  return text == nullptr ? kDefault : std::max(1, std::atoi(text));
}

}  // namespace

TEST_CASE("long random runs: owners in a store that loses its latest writes",
          "[ownership][era][run]") {
  constexpr int kSteps = 10000;  // Of 50 ms.
  constexpr int kCalmSteps = 1200;
  const int seeds = SeedCount();
  for (int seed = 1; seed <= seeds; ++seed) {
    INFO("seed " << seed);
    RestoredStoreSimulation simulation(static_cast<uint64_t>(seed));
    for (int i = 0; i < kSteps; ++i) {
      simulation.Step(false);
    }
    REQUIRE(simulation.restorations() > 5);
    REQUIRE(simulation.actions() > 1000);
    REQUIRE(simulation.owner_changes() > 20);
    for (int i = 0; i < kCalmSteps; ++i) {
      simulation.Step(true);
    }
    REQUIRE(simulation.HasConverged());
  }
}

}  // namespace bilberrypitch
