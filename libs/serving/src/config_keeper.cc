// Compares the versions in force, of the operator and of the instances.
#include "serving/config_keeper.h"

#include <algorithm>

namespace bilberrypitch {
namespace {

constexpr Millis kDelayPerRank{200};
// Beyond it instances may write at the same time; one write takes effect.
constexpr Millis kLongestDelay{1000};
constexpr Millis kRetryDelay{1000};

}  // namespace

void ConfigKeeper::OnKept(int64_t version, StoreRevision revision) {
  kept_version_ = version;
  kept_revision_ = revision;
}

void ConfigKeeper::OnKeptRemoved() { OnKept(0, StoreRevision()); }

bool ConfigKeeper::IsAhead() const { return in_force_ > store_version_; }

ConfigKeeper::Action ConfigKeeper::Needed() const {
  if (IsAhead() && kept_version_ < in_force_) {
    return Action::kWrite;
  }
  bool obsolete = kept_version_ != 0 && kept_version_ <= store_version_;
  return obsolete ? Action::kRemove : Action::kNone;
}

ConfigKeeper::Action ConfigKeeper::TakeAction(size_t rank, Millis now) {
  Action action = Needed();
  if (action == Action::kNone) {
    due_ = Millis(0);
    return action;
  }
  if (due_ == Millis(0)) {
    due_ = now +
           std::min(kLongestDelay, kDelayPerRank * static_cast<int64_t>(rank));
  }
  if (now < due_) {
    return Action::kNone;
  }
  due_ = now + kRetryDelay;
  return action;
}

}  // namespace bilberrypitch
