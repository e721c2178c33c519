// Actions of traces about residency: leaders, holders, orders.
#include <map>

#include "residency/residency_holder.h"
#include "residency/zone_leader.h"
#include "schema/peer.pb.h"
#include "schema/trace.pb.h"
#include "trace_part.h"

namespace bilberrypitch {
namespace {

const ZoneId kZone("zone");
const PoolId kPool("pool");

OrderResult ResultNamed(const std::string& name) {
  if (name == "failed") return OrderResult::kFailed;
  if (name == "unknown") return OrderResult::kUnknown;
  if (name == "not_sent") return OrderResult::kNotSent;
  return OrderResult::kDone;
}

class ResidencyTracePart : public TracePart {
 public:
  std::optional<TraceOutcome> Run(const schema::TraceStep& step) override {
    now_ = Millis(step.at_ms());
    const std::string& action = step.action();
    if (action == "lead") return Lead(step);
    if (action == "begin") return Begin(step);
    if (action == "end") return End(step);
    auto leader = leaders_.find(step.who());
    bool about_leader = action == "listing" || action == "exchange" ||
                        action == "want" || action == "tick" ||
                        action == "result" || action == "remove_member";
    if (!about_leader || leader == leaders_.end()) {
      return std::nullopt;
    }
    return RunLeader(step, &leader->second);
  }

 private:
  // `names` are the members; `number` the epoch; one engine of one slot.
  TraceOutcome Lead(const schema::TraceStep& step) {
    LeaderOptions options;
    options.loads_per_s = 100;
    auto [it, added] = leaders_.try_emplace(step.who(), kZone, step.number(),
                                            BootId(step.who()), options,
                                            step.number() == 1, now_);
    it->second.SetEngines({{UpstreamId("engine"), kPool, 1, 4, false, true}});
    it->second.SetMembers(Boots(step), now_);
    return {added ? "leads" : "led before"};
  }

  static std::set<BootId> Boots(const schema::TraceStep& step) {
    std::set<BootId> boots;
    for (const std::string& it : step.names()) boots.insert(BootId(it));
    return boots;
  }

  TraceOutcome Begin(const schema::TraceStep& step) {
    bool begun = holders_[step.who()].Begin(IncarnationId(step.name()));
    return {begun ? "begun" : "refused"};
  }

  TraceOutcome End(const schema::TraceStep& step) {
    holders_[step.who()].End(IncarnationId(step.name()));
    return {"ended"};
  }

  TraceOutcome RunLeader(const schema::TraceStep& step, ZoneLeader* leader) {
    if (step.action() == "listing") {
      std::vector<IncarnationId> names;
      for (const std::string& it : step.names()) {
        names.push_back(IncarnationId(it));
      }
      leader->OnListing(UpstreamId("engine"), names, now_);
      return {"listed"};
    }
    if (step.action() == "exchange") return Exchange(step, leader);
    if (step.action() == "tick") return Tick(leader);
    if (step.action() == "want") {
      AdapterVersionRef ref{AdapterId(step.adapter()), step.version()};
      leader->OnDemand(BootId("caller"),
                       {{ref, 1, Millis(step.duration_ms()), 1}}, now_);
      return {"wanted"};
    }
    if (step.action() == "remove_member") {
      leader->SetMembers(Boots(step), now_);
      return {"removed"};
    }
    leader->OnOrderResult(orders_[step.name()], ResultNamed(step.failure()),
                          now_);
    return {"noted"};
  }

  // The table goes to the named holders and their reports come back.
  TraceOutcome Exchange(const schema::TraceStep& step, ZoneLeader* leader) {
    TraceOutcome outcome;
    for (const std::string& boot : step.names()) {
      TableVerdict verdict = holders_[boot].OnTable(leader->Table());
      outcome.push_back(verdict == TableVerdict::kStale ? "stale" : "taken");
      leader->OnReport(BootId(boot), holders_[boot].MakeReport(kZone), now_);
    }
    return outcome;
  }

  TraceOutcome Tick(ZoneLeader* leader) {
    TraceOutcome outcome;
    for (const Order& it :
         leader->Tick(now_, [](const AdapterVersionRef&) { return kPool; })) {
      orders_[it.name.str()] = it.id;
      bool load = it.kind == OrderKind::kLoad;
      outcome.push_back((load ? "load " : "unload ") + it.name.str());
    }
    if (outcome.empty()) outcome.push_back("nothing");
    return outcome;
  }

  Millis now_;
  std::map<std::string, ZoneLeader> leaders_;
  std::map<std::string, ResidencyHolder> holders_;
  std::map<std::string, uint64_t> orders_;  // Order by incarnation name.
};

}  // namespace

std::unique_ptr<TracePart> MakeResidencyTracePart() {
  return std::make_unique<ResidencyTracePart>();
}

}  // namespace bilberrypitch
