// Strong types for ids and times. They prevent mixing ids of different kinds,
// or counts with times.
#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <limits>
#include <string>
#include <utility>

namespace bilberrypitch {

// An id whose kind is given by `Tag`. An empty id means "none".
template <typename Tag>
class Id {
 public:
  Id() = default;
  explicit Id(std::string value) : value_(std::move(value)) {}

  const std::string& str() const { return value_; }
  bool empty() const { return value_.empty(); }
  auto operator<=>(const Id&) const = default;

 private:
  std::string value_;
};

using InstanceId = Id<struct InstanceTag>;
using BootId = Id<struct BootTag>;  // One process start of an instance.
using ZoneId = Id<struct ZoneTag>;
using WorkspaceId = Id<struct WorkspaceTag>;
using UpstreamId = Id<struct UpstreamTag>;
using AdapterId = Id<struct AdapterTag>;
using PoolId = Id<struct PoolTag>;
using RequestId = Id<struct RequestTag>;
using IncarnationId = Id<struct IncarnationTag>;  // One load of an adapter.
using Fingerprint = Id<struct FingerprintTag>;

// A point in time on the boot-time clock, or a duration, in milliseconds. Sums
// and products that are too large for 64 bits stay at the longest or the
// shortest time, as callers, upstreams and operators may state any duration.
class Millis {
 public:
  constexpr Millis() = default;
  constexpr explicit Millis(int64_t millis) : count_(millis) {}

  constexpr int64_t count() const { return count_; }
  constexpr double seconds() const {
    return static_cast<double>(count_) / 1000.0;
  }
  constexpr auto operator<=>(const Millis&) const = default;
  constexpr Millis operator+(Millis other) const {
    int64_t sum = 0;
    bool overflows = __builtin_add_overflow(count_, other.count_, &sum);
    return overflows ? Limit(count_ < 0) : Millis(sum);
  }
  constexpr Millis operator-(Millis other) const {
    int64_t difference = 0;
    bool overflows = __builtin_sub_overflow(count_, other.count_, &difference);
    return overflows ? Limit(count_ < 0) : Millis(difference);
  }
  constexpr Millis operator*(int64_t factor) const {
    int64_t product = 0;
    bool overflows = __builtin_mul_overflow(count_, factor, &product);
    return overflows ? Limit((count_ < 0) != (factor < 0)) : Millis(product);
  }

 private:
  static constexpr Millis Limit(bool is_negative) {
    return Millis(is_negative ? std::numeric_limits<int64_t>::min()
                              : std::numeric_limits<int64_t>::max());
  }

  int64_t count_ = 0;
};

}  // namespace bilberrypitch

template <typename Tag>
struct std::hash<bilberrypitch::Id<Tag>> {
  size_t operator()(const bilberrypitch::Id<Tag>& id) const {
    return std::hash<std::string>()(id.str());
  }
};
