// A part of a replay: it knows some actions and their outcomes.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace bilberrypitch {

namespace schema {
class TraceStep;
}

using TraceOutcome = std::vector<std::string>;

class TracePart {
 public:
  virtual ~TracePart() = default;
  // None when the action is not one of this part.
  virtual std::optional<TraceOutcome> Run(const schema::TraceStep& step) = 0;
};

std::unique_ptr<TracePart> MakeResidencyTracePart();
std::unique_ptr<TracePart> MakeRequestTracePart();

}  // namespace bilberrypitch
