// The actions that a trace can use.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace bilberrypitch {

namespace schema {
class TraceStep;
}

// The outcome of a step, as compared with the step's `expect`.
using TraceOutcome = std::vector<std::string>;

// A group of actions that share state, found by action name.
class TraceActions {
 public:
  using Action = std::function<TraceOutcome(const schema::TraceStep&)>;

  virtual ~TraceActions() = default;
  // Runs the step's action; returns nothing when this group does not have it.
  std::optional<TraceOutcome> Run(const schema::TraceStep& step);

 protected:
  std::map<std::string, Action> actions_;
};

// Membership, ownership and rate limits of several instances.
std::unique_ptr<TraceActions> MakeClusterActions();
// The placement of adapters on one engine.
std::unique_ptr<TraceActions> MakeEngineActions();
// Attempts, crashes, events of a stream and the freshness of API keys.
std::unique_ptr<TraceActions> MakeRequestActions();

}  // namespace bilberrypitch
