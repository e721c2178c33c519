// Implements the trace actions for ownership and rate limits of several
// instances.
#include "schema/trace.pb.h"
#include "serving/ownership.h"
#include "serving/rate_limiter.h"
#include "trace_actions.h"

namespace bilberrypitch {
namespace {

constexpr Millis kTakeoverDelay{3000};
constexpr Millis kLeaseTtl{6000};
// A tenth of the limit and no extra tokens, in any window of 8 seconds.
constexpr RateTolerance kRateTolerance{0.1, 0, 8};

Millis At(const schema::TraceStep& step) { return Millis(step.at_ms()); }

std::string NameAt(const schema::TraceStep& step, int index) {
  return index < step.names_size() ? step.names(index) : "";
}

ClusterMember MemberOf(const std::string& machine, const std::string& boot) {
  return {MachineId(machine), BootId(boot), ZoneId("z"), ""};
}

class ClusterActions : public TraceActions {
 public:
  ClusterActions() {
    AddOwnershipActions();
    AddRateActions();
  }

 private:
  using Step = schema::TraceStep;

  // Adds an action that runs on the Ownership of the machine `who`.
  void AddOwnershipAction(
      const char* action,
      std::function<TraceOutcome(Ownership*, const Step&)> run) {
    actions_[action] = [this, run](const Step& step) -> TraceOutcome {
      auto it = ownerships_.find(step.who());
      if (it == ownerships_.end()) {
        return {"no such instance"};
      }
      return run(&it->second, step);
    };
  }

  void AddOwnershipActions() {
    // A process of the machine `who` starts with the boot id `name`.
    actions_["start"] = [this](const Step& step) {
      ownerships_.erase(step.who());
      ownerships_.emplace(step.who(),
                          Ownership(MemberOf(step.who(), step.name()),
                                    kTakeoverDelay, kLeaseTtl, At(step)));
      return TraceOutcome{"ok"};
    };
    AddOwnershipAction("synced", [](Ownership* ownership, const Step& step) {
      ownership->OnFullReadCompleted(At(step));
      return TraceOutcome{"ok"};
    });
    AddOwnershipAction("lease", [](Ownership* ownership, const Step& step) {
      ownership->OnLease(step.number());
      return TraceOutcome{"ok"};
    });
    AddOwnershipAction("member", [](Ownership* ownership, const Step& step) {
      ownership->OnMember(MemberOf(step.name(), NameAt(step, 0)));
      return TraceOutcome{"ok"};
    });
    AddOwnershipAction("member_gone",
                       [](Ownership* ownership, const Step& step) {
                         ownership->OnMemberRemoved(MachineId(step.name()));
                         return TraceOutcome{"ok"};
                       });
    AddOwnershipAction("duty", [](Ownership* ownership, const Step& step) {
      ownership->OnResource(ResourceId(step.name()), ZoneId(), At(step));
      return TraceOutcome{"ok"};
    });
    // The owner key of the resource `name` was written at revision `number`;
    // `names` contains the machine, the boot id and the lease id.
    AddOwnershipAction("owner", [](Ownership* ownership, const Step& step) {
      OwnerRecord record;
      record.machine = MachineId(NameAt(step, 0));
      record.boot = BootId(NameAt(step, 1));
      record.lease = std::stoll("0" + NameAt(step, 2));
      record.revision = StoreRevision(0, step.number());
      record.takeover_complete = step.settled();
      ownership->OnOwner(ResourceId(step.name()), record, At(step));
      return TraceOutcome{"ok"};
    });
    AddOwnershipAction(
        "owner_gone", [](Ownership* ownership, const Step& step) {
          ownership->OnOwnerRemoved(ResourceId(step.name()), At(step));
          return TraceOutcome{"ok"};
        });
    AddOwnershipAction("claims", [](Ownership* ownership, const Step& step) {
      TraceOutcome claims{std::to_string(step.at_ms())};
      for (const OwnershipClaim& claim : ownership->TakeClaims(At(step))) {
        claims.push_back(claim.resource.str() + "@" +
                         std::to_string(claim.revision.number));
      }
      return claims;
    });
    AddOwnershipAction("fence", [](Ownership* ownership, const Step& step) {
      return TraceOutcome{std::to_string(
          ownership->FencingToken(ResourceId(step.name()), At(step)))};
    });
  }

  RateLimiter* RateLimiterOf(const std::string& machine) {
    return &rate_limiters_
                .try_emplace(machine, MachineId(machine), kRateTolerance)
                .first->second;
  }

  static TraceOutcome ToOutcome(const RateDecision& decision) {
    return {decision.granted ? "granted" : "refused"};
  }

  void AddRateActions() {
    actions_["limit"] = [this](const Step& step) {
      Workspace workspace;
      workspace.id = WorkspaceId(step.name());
      workspace.rate_per_s = step.rate();
      workspace.burst = step.burst();
      RateLimiterOf(step.who())->SetWorkspaces({workspace}, At(step));
      return TraceOutcome{"ok"};
    };
    actions_["members"] = [this](const Step& step) {
      std::vector<MachineId> members;
      for (const std::string& machine : step.names()) {
        members.emplace_back(machine);
      }
      RateLimiterOf(step.who())->SetMembers(members, At(step));
      return TraceOutcome{"ok"};
    };
    actions_["keeps"] = [this](const Step& step) {
      RateLimiterOf(step.who())
          ->SetOwnedBySelf(WorkspaceId(step.name()), step.settled(), At(step));
      return TraceOutcome{"ok"};
    };
    actions_["heard"] = [this](const Step& step) {
      RateLimiterOf(step.who())
          ->OnMessageFrom(MachineId(step.name()), At(step));
      return TraceOutcome{"ok"};
    };
    // The first of `names` requests tokens from the owner `who`; `number` is
    // the nonce.
    actions_["take"] = [this](const Step& step) {
      return ToOutcome(
          RateLimiterOf(step.who())
              ->AcquireAsOwner(MachineId(NameAt(step, 0)),
                               static_cast<uint64_t>(step.number()),
                               WorkspaceId(step.name()), step.tokens(),
                               At(step)));
    };
    // `who` has received no message from the owner, the first of `names`.
    actions_["take_alone"] = [this](const Step& step) {
      return ToOutcome(RateLimiterOf(step.who())
                           ->AcquireFromLocalShare(WorkspaceId(step.name()),
                                                   MachineId(NameAt(step, 0)),
                                                   step.tokens(), At(step)));
    };
  }

  // Both are keyed by machine.
  std::map<std::string, Ownership> ownerships_;
  std::map<std::string, RateLimiter> rate_limiters_;
};

}  // namespace

std::unique_ptr<TraceActions> MakeClusterActions() {
  return std::make_unique<ClusterActions>();
}

}  // namespace bilberrypitch
