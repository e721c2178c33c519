// Strongly typed ids of services, models and machines, in addition to those of
// base/strong.h.
#pragma once

#include "base/strong.h"

namespace bilberrypitch {

using ServiceId = Id<struct ServiceTag>;
using ModelId = Id<struct ModelTag>;  // Of a base model.
// Of a machine; it stays the same when the machine's process restarts.
using MachineId = Id<struct MachineTag>;

// Of an upstream's software, not of weights; empty: not stated.
using SoftwareVersion = Id<struct SoftwareVersionTag>;

// Refers to an adapter of a base model, or to the base model itself.
struct ModelRef {
  ModelId model;
  AdapterId adapter;  // Empty: the base model.

  bool is_adapter() const { return !adapter.empty(); }
  auto operator<=>(const ModelRef&) const = default;
};

// Returns "model/adapter" or "model", as used in hashes, header fields and log
// lines.
std::string ToString(const ModelRef& ref);

}  // namespace bilberrypitch
