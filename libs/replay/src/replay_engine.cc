// Replay of the placement of adapters on one engine with two places.
#include "schema/trace.pb.h"
#include "serving/engine_placement.h"
#include "trace_part.h"

namespace bilberrypitch {
namespace {

const ModelId kModel("base");
constexpr uint32_t kPlaces = 2;

Millis At(const schema::TraceStep& step) { return Millis(step.at_ms()); }

EngineProfile Profile() {
  EngineProfile profile;
  profile.batch_slots = 8;
  profile.weights_memory_mb = 2000;
  profile.adapter_slots = kPlaces;
  ModelSpec model;
  model.id = kModel;
  model.weights_mb = 1000;
  model.adapter_mb = 10;
  model.load_time = Millis(2000);
  profile.models.push_back(model);
  return profile;
}

ModelRef Adapter(const std::string& name) { return {kModel, AdapterId(name)}; }

OrderOutcome OutcomeOf(const std::string& name) {
  static const std::map<std::string, OrderOutcome> outcomes = {
      {"started", OrderOutcome::kStarted},
      {"holds", OrderOutcome::kAlreadyDone},
      {"conflict", OrderOutcome::kConflict},
      {"fenced", OrderOutcome::kFenced},
      {"not_sent", OrderOutcome::kNotSent},
  };
  auto it = outcomes.find(name);
  return it == outcomes.end() ? OrderOutcome::kUnknown : it->second;
}

std::string NameOf(const PlacementAction& it) {
  std::string target = it.target.adapter.str();
  switch (it.kind) {
    case PlacementAction::Kind::kFetchReport:
      return "report";
    case PlacementAction::Kind::kSendOrder:
      return (it.order_action == OrderAction::kLoad ? "load " : "unload ") +
             target + " if " + std::to_string(it.expected_order_count);
    case PlacementAction::Kind::kNotifyReady:
      return "ready " + target + " to " + it.machine.str();
    case PlacementAction::Kind::kNotifyEvicted:
      return "evicted " + target + " to " + it.machine.str();
    case PlacementAction::Kind::kNotifyLoading:
      return "loading " + target + " to " + it.machine.str();
    case PlacementAction::Kind::kNotifyFull:
      return "full " + target + " to " + it.machine.str();
  }
  return "unknown";
}

class EngineTracePart : public TracePart {
 public:
  EngineTracePart() {
    placement_.SetEngine(Profile());
    actions_["reset"] = [this](const auto& step) {
      placement_.Reset(At(step));
      return TraceOutcome{"ok"};
    };
    actions_["want"] = [this](const auto& step) {
      placement_.OnLoadRequest(MachineId(step.who()), Adapter(step.name()),
                               step.number(), At(step));
      return TraceOutcome{"ok"};
    };
    actions_["use"] = [this](const auto& step) {
      placement_.OnUsage(MachineId(step.who()), Adapter(step.name()),
                         static_cast<uint32_t>(step.number()), At(step));
      return TraceOutcome{"ok"};
    };
    actions_["version"] = [this](const auto& step) {
      placement_.OnRequiredVersion(Adapter(step.name()), step.number(),
                                   At(step));
      return TraceOutcome{"ok"};
    };
    actions_["order"] = [this](const auto& step) {
      placement_.OnOrderOutcome(OutcomeOf(step.end()), At(step));
      return TraceOutcome{"ok"};
    };
    actions_["report"] = [this](const auto& step) { return Report(step); };
    actions_["next"] = [this](const auto& step) {
      TraceOutcome names;
      for (const PlacementAction& it :
           placement_.TakeActions(!step.settled(), At(step))) {
        names.push_back(NameOf(it));
      }
      names.push_back("end");
      return names;
    };
  }

 private:
  // The engine holds `names`, as NAME@VERSION, after `number` orders.
  TraceOutcome Report(const schema::TraceStep& step) {
    EngineReport report;
    LoadedModel model;
    model.model = kModel;
    for (const std::string& it : step.names()) {
      size_t at = it.find('@');
      model.adapters.push_back(
          {AdapterId(it.substr(0, at)), std::stoll(it.substr(at + 1))});
    }
    report.models.push_back(std::move(model));
    report.orders_accepted = step.number();
    placement_.OnReport(true, report, At(step));
    return {"ok"};
  }

  EnginePlacement placement_;
};

}  // namespace

std::unique_ptr<TracePart> MakeEngineTracePart() {
  return std::make_unique<EngineTracePart>();
}

}  // namespace bilberrypitch
