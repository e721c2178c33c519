// Strong types for ids and units: two kinds of name, or a count and a time,
// can't be mixed by mistake.
#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace bilberrypitch {

// A name of one kind. Value type; empty means "none".
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
using BootId = Id<struct BootTag>;  // One start of one instance.
using ZoneId = Id<struct ZoneTag>;
using WorkspaceId = Id<struct WorkspaceTag>;
using UpstreamId = Id<struct UpstreamTag>;
using AdapterId = Id<struct AdapterTag>;
using PoolId = Id<struct PoolTag>;
using RequestId = Id<struct RequestTag>;
using IncarnationId = Id<struct IncarnationTag>;  // One load of an adapter.
using Fingerprint = Id<struct FingerprintTag>;

// A point on the boot-time clock or a duration, in milliseconds.
class Millis {
 public:
  constexpr Millis() = default;
  constexpr explicit Millis(int64_t n) : n_(n) {}

  constexpr int64_t count() const { return n_; }
  constexpr double seconds() const { return static_cast<double>(n_) / 1000.0; }
  constexpr auto operator<=>(const Millis&) const = default;
  constexpr Millis operator+(Millis it) const { return Millis(n_ + it.n_); }
  constexpr Millis operator-(Millis it) const { return Millis(n_ - it.n_); }
  constexpr Millis operator*(int64_t k) const { return Millis(n_ * k); }

 private:
  int64_t n_ = 0;
};

}  // namespace bilberrypitch

template <typename Tag>
struct std::hash<bilberrypitch::Id<Tag>> {
  size_t operator()(const bilberrypitch::Id<Tag>& it) const {
    return std::hash<std::string>()(it.str());
  }
};
