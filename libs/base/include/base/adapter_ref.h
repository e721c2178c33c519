// One version of one adapter.
#pragma once

#include <compare>
#include <cstdint>

#include "base/strong.h"

namespace bilberrypitch {

struct AdapterVersionRef {
  AdapterId adapter;
  uint32_t version = 0;
  auto operator<=>(const AdapterVersionRef&) const = default;
};

}  // namespace bilberrypitch
