// A part of a replay: it knows some actions and their outcomes.
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

using TraceOutcome = std::vector<std::string>;

// By name of the action.
class TracePart {
 public:
  using Action = std::function<TraceOutcome(const schema::TraceStep&)>;

  virtual ~TracePart() = default;
  // None when the action is not one of this part.
  std::optional<TraceOutcome> Run(const schema::TraceStep& step);

 protected:
  std::map<std::string, Action> actions_;
};

// Members, duties and the tokens of rates, of several instances.
std::unique_ptr<TracePart> MakeClusterTracePart();
// The placement of adapters on one engine.
std::unique_ptr<TracePart> MakeEngineTracePart();
// Attempts, crashes, events of a stream and the freshness of keys.
std::unique_ptr<TracePart> MakeRequestTracePart();

}  // namespace bilberrypitch
