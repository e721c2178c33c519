// Replay of duties and rates over several instances.
#include "schema/trace.pb.h"
#include "serving/ownership.h"
#include "serving/rate_limiter.h"
#include "trace_part.h"

namespace bilberrypitch {
namespace {

constexpr Millis kTurn{3000};
constexpr RateTolerance kMargin{0.1, 0, 8};

Millis At(const schema::TraceStep& step) { return Millis(step.at_ms()); }

std::string NameAt(const schema::TraceStep& step, int i) {
  return i < step.names_size() ? step.names(i) : "";
}

ClusterMember MemberOf(const std::string& machine, const std::string& boot) {
  return {MachineId(machine), BootId(boot), ZoneId("z"), ""};
}

class ClusterTracePart : public TracePart {
 public:
  ClusterTracePart() {
    AddDutyActions();
    AddRateActions();
  }

 private:
  using Step = schema::TraceStep;

  // Runs on the ownership of the instance `who`.
  void OnDuties(const char* action,
                std::function<TraceOutcome(Ownership*, const Step&)> run) {
    actions_[action] = [this, run](const Step& step) -> TraceOutcome {
      auto it = duties_.find(step.who());
      if (it == duties_.end()) {
        return {"no such instance"};
      }
      return run(&it->second, step);
    };
  }

  void AddDutyActions() {
    // A process of the machine `who` starts; its boot is `name`.
    actions_["start"] = [this](const Step& step) {
      duties_.erase(step.who());
      duties_.emplace(step.who(), Ownership(MemberOf(step.who(), step.name()),
                                            kTurn, At(step)));
      return TraceOutcome{"ok"};
    };
    OnDuties("synced", [](Ownership* it, const Step& step) {
      it->OnFullReadCompleted(At(step));
      return TraceOutcome{"ok"};
    });
    OnDuties("lease", [](Ownership* it, const Step& step) {
      it->OnLease(step.number());
      return TraceOutcome{"ok"};
    });
    OnDuties("member", [](Ownership* it, const Step& step) {
      it->OnMember(MemberOf(step.name(), NameAt(step, 0)));
      return TraceOutcome{"ok"};
    });
    OnDuties("member_gone", [](Ownership* it, const Step& step) {
      it->OnMemberRemoved(MachineId(step.name()));
      return TraceOutcome{"ok"};
    });
    OnDuties("duty", [](Ownership* it, const Step& step) {
      it->OnResource(ResourceId(step.name()), ZoneId(), At(step));
      return TraceOutcome{"ok"};
    });
    // The key of a duty was written: by machine and boot of `names`, at the
    // revision `number`, with the lease that is the third of `names`.
    OnDuties("owner", [](Ownership* it, const Step& step) {
      OwnerRecord record;
      record.machine = MachineId(NameAt(step, 0));
      record.boot = BootId(NameAt(step, 1));
      record.lease = std::stoll("0" + NameAt(step, 2));
      record.revision = step.number();
      record.takeover_complete = step.settled();
      it->OnOwner(ResourceId(step.name()), record, At(step));
      return TraceOutcome{"ok"};
    });
    OnDuties("owner_gone", [](Ownership* it, const Step& step) {
      it->OnOwnerRemoved(ResourceId(step.name()), At(step));
      return TraceOutcome{"ok"};
    });
    OnDuties("claims", [](Ownership* it, const Step& step) {
      TraceOutcome claims{std::to_string(step.at_ms())};
      for (const OwnershipClaim& claim : it->TakeClaims(At(step))) {
        claims.push_back(claim.resource.str() + "@" +
                         std::to_string(claim.revision));
      }
      return claims;
    });
    OnDuties("fence", [](Ownership* it, const Step& step) {
      return TraceOutcome{
          std::to_string(it->FencingToken(ResourceId(step.name()), At(step)))};
    });
  }

  RateLimiter* RatesOf(const std::string& machine) {
    return &rates_.try_emplace(machine, MachineId(machine), kMargin)
                .first->second;
  }

  static TraceOutcome Verdict(const RateDecision& it) {
    return {it.granted ? "granted" : "refused"};
  }

  void AddRateActions() {
    actions_["limit"] = [this](const Step& step) {
      Workspace it;
      it.id = WorkspaceId(step.name());
      it.rate_per_s = step.rate();
      it.burst = step.burst();
      RatesOf(step.who())->SetWorkspaces({it}, At(step));
      return TraceOutcome{"ok"};
    };
    actions_["members"] = [this](const Step& step) {
      std::vector<MachineId> members;
      for (const std::string& it : step.names()) {
        members.emplace_back(it);
      }
      RatesOf(step.who())->SetMembers(members, At(step));
      return TraceOutcome{"ok"};
    };
    actions_["keeps"] = [this](const Step& step) {
      RatesOf(step.who())
          ->SetOwnedBySelf(WorkspaceId(step.name()), step.settled(), At(step));
      return TraceOutcome{"ok"};
    };
    actions_["heard"] = [this](const Step& step) {
      RatesOf(step.who())->OnMessageFrom(MachineId(step.name()), At(step));
      return TraceOutcome{"ok"};
    };
    // The keeper `who` is asked by the first of `names`; `number` is the nonce.
    actions_["take"] = [this](const Step& step) {
      return Verdict(RatesOf(step.who())
                         ->AcquireAsOwner(MachineId(NameAt(step, 0)),
                                          static_cast<uint64_t>(step.number()),
                                          WorkspaceId(step.name()),
                                          step.tokens(), At(step)));
    };
    // `who` has not heard the keeper, which is the first of `names`.
    actions_["take_alone"] = [this](const Step& step) {
      return Verdict(RatesOf(step.who())
                         ->AcquireFromLocalShare(WorkspaceId(step.name()),
                                                 MachineId(NameAt(step, 0)),
                                                 step.tokens(), At(step)));
    };
  }

  std::map<std::string, Ownership> duties_;  // By machine, as the ledgers.
  std::map<std::string, RateLimiter> rates_;
};

}  // namespace

std::unique_ptr<TracePart> MakeClusterTracePart() {
  return std::make_unique<ClusterTracePart>();
}

}  // namespace bilberrypitch
