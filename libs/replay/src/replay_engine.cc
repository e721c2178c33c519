// Implements the trace actions for adapter placement on one engine with two
// adapter slots.
#include "schema/trace.pb.h"
#include "serving/engine_placement.h"
#include "trace_actions.h"

namespace bilberrypitch {
namespace {

const ModelId kModel("base");
constexpr uint32_t kAdapterSlots = 2;

Millis At(const schema::TraceStep& step) { return Millis(step.at_ms()); }

EngineProfile MakeProfile() {
  EngineProfile profile;
  profile.batch_slots = 8;
  profile.weights_memory_mb = 2000;
  profile.adapter_slots = kAdapterSlots;
  ModelSpec model;
  model.id = kModel;
  model.weights_mb = 1000;
  model.adapter_mb = 10;
  model.load_time = Millis(2000);
  profile.models.push_back(model);
  return profile;
}

ModelRef AdapterRef(const std::string& name) {
  return {kModel, AdapterId(name)};
}

OrderOutcome ParseOutcome(const std::string& name) {
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

std::string FormatAction(const PlacementAction& action) {
  std::string target = action.target.adapter.str();
  switch (action.kind) {
    case PlacementAction::Kind::kFetchReport:
      return "report";
    case PlacementAction::Kind::kSendOrder:
      return (action.order_action == OrderAction::kLoad ? "load " : "unload ") +
             target + " if " + std::to_string(action.expected_order_count);
    case PlacementAction::Kind::kNotifyReady:
      return "ready " + target + " to " + action.machine.str();
    case PlacementAction::Kind::kNotifyEvicted:
      return "evicted " + target + " to " + action.machine.str();
    case PlacementAction::Kind::kNotifyLoading:
      return "loading " + target + " to " + action.machine.str();
    case PlacementAction::Kind::kNotifyFull:
      return "full " + target + " to " + action.machine.str();
  }
  return "unknown";
}

class EngineActions : public TraceActions {
 public:
  EngineActions() {
    placement_.SetEngine(MakeProfile());
    actions_["reset"] = [this](const auto& step) {
      placement_.Reset(At(step));
      return TraceOutcome{"ok"};
    };
    actions_["want"] = [this](const auto& step) {
      placement_.OnLoadRequest(MachineId(step.who()), AdapterRef(step.name()),
                               step.number(), At(step));
      return TraceOutcome{"ok"};
    };
    actions_["use"] = [this](const auto& step) {
      placement_.OnUsage(MachineId(step.who()), AdapterRef(step.name()),
                         static_cast<uint32_t>(step.number()), At(step));
      return TraceOutcome{"ok"};
    };
    actions_["version"] = [this](const auto& step) {
      placement_.OnRequiredVersion(AdapterRef(step.name()), step.number(),
                                   At(step));
      return TraceOutcome{"ok"};
    };
    actions_["order"] = [this](const auto& step) {
      placement_.OnOrderOutcome(ParseOutcome(step.end()), At(step));
      return TraceOutcome{"ok"};
    };
    actions_["report"] = [this](const auto& step) { return Report(step); };
    actions_["next"] = [this](const auto& step) {
      TraceOutcome names;
      for (const PlacementAction& action :
           placement_.TakeActions(!step.settled(), At(step))) {
        names.push_back(FormatAction(action));
      }
      names.push_back("end");
      return names;
    };
  }

 private:
  // The engine reports the adapters `names`, as NAME@VERSION, after `number`
  // accepted orders.
  TraceOutcome Report(const schema::TraceStep& step) {
    EngineReport report;
    LoadedModel model;
    model.model = kModel;
    for (const std::string& name : step.names()) {
      size_t separator = name.find('@');
      model.adapters.push_back({AdapterId(name.substr(0, separator)),
                                std::stoll(name.substr(separator + 1))});
    }
    report.models.push_back(std::move(model));
    report.orders_accepted = step.number();
    placement_.OnReport(true, report, At(step));
    return {"ok"};
  }

  EnginePlacement placement_;
};

}  // namespace

std::unique_ptr<TraceActions> MakeEngineActions() {
  return std::make_unique<EngineActions>();
}

}  // namespace bilberrypitch
