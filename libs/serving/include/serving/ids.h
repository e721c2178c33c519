// Ids of what is configured and served, beside those of base/strong.h.
#pragma once

#include "base/strong.h"

namespace bilberrypitch {

using ServiceId = Id<struct ServiceTag>;
using ModelId = Id<struct ModelTag>;      // A base model.
using MachineId = Id<struct MachineTag>;  // A machine, over all its processes.

// An adapter of a base model, or the base model itself.
struct ModelRef {
  ModelId model;
  AdapterId adapter;  // Empty: the base model.

  bool is_adapter() const { return !adapter.empty(); }
  auto operator<=>(const ModelRef&) const = default;
};

// For maps and logs.
std::string ToString(const ModelRef& ref);

}  // namespace bilberrypitch
