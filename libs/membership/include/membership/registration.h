// The registration of each instance in the platform's store, and the rules by
// which one that died is removed while none that lives can be.
//
// A registration gives its owner the right to be sent residency tables and to
// hold its parts of the rates. The owner has to stay confirmed:
//   - by the store: its own registration was read there, without a mark; or
//   - by its zone: a majority of the `view` that it wrote into its
//     registration (itself counted) vouched for it lately. A member that has
//     seen a mark on it does not vouch.
// To remove one that died, a member of its zone first marks it by
// compare-and-swap, then waits until half or more of the dead one's view has
// acknowledged the mark, and then a whole confirmation period. So no majority
// can vouch at the same time. Where half of the view is gone too, it waits the
// longest time that an instance runs without the store. An instance that reads
// a mark on itself clears it by compare-and-swap, which the removal would lose.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/strong.h"

namespace bilberrypitch {

struct RegistrationRecord {
  InstanceId instance;
  BootId boot;
  ZoneId zone;
  std::vector<BootId> view;  // Registered members of the zone, self included.
  BootId marked_by;          // Empty: not marked for removal.
  int64_t mod_revision = 0;
};

// A mark as one member read it; `revision` tells it from an earlier one.
struct SeenMark {
  BootId boot;
  int64_t revision = 0;
};

struct RegistrationOptions {
  Millis confirmation{6 * 1000};
  Millis isolation{3600 * 1000};  // Longest run without the store.
  // Clocks of two instances differ in speed by less than this part.
  double clock_margin = 0.05;
};

enum class RegistrationActionKind : uint8_t {
  kWriteOwn,  // Create or replace the own record (compare-and-swap).
  kMark,      // Mark `target` (compare-and-swap on its mod_revision).
  kRemove,    // Remove `target` (compare-and-swap on its mod_revision).
};

struct RegistrationAction {
  RegistrationActionKind kind = RegistrationActionKind::kWriteOwn;
  RegistrationRecord record;
};

// What the member table knows of one instance.
struct MemberSight {
  bool live = false;    // Heard lately.
  bool listed = false;  // In the platform's list.
};

// Not thread-safe; its owner holds the lock.
class RegistrationKeeper {
 public:
  RegistrationKeeper(InstanceId instance, BootId boot, ZoneId zone,
                     RegistrationOptions options);

  // All registrations of the own zone, as read at the store's `revision` by a
  // call begun at `begun`. A read older than one seen is ignored.
  void OnStoreRead(const std::vector<RegistrationRecord>& records,
                   int64_t revision, Millis begun);
  // The own write took effect (or its answer was lost: `sure` is false).
  void OnOwnWritten(const RegistrationRecord& record, bool sure);
  // A member vouches for this boot, in answer to a heartbeat of ours that was
  // sent at `sent`.
  void OnVouch(const BootId& from, Millis sent);
  // A member has seen these marks.
  void OnMarksSeen(const BootId& from, const std::vector<SeenMark>& marks);

  // Whether this instance may use its rights now.
  bool Confirmed(Millis now) const;
  // Whether this instance is registered, as far as it knows.
  bool registered() const { return registered_; }
  // Whether it was removed: only a new boot can register again.
  bool removed() const { return removed_; }
  // Whom this instance vouches for, and the marks that it has seen.
  bool VouchesFor(const BootId& boot) const;
  std::vector<SeenMark> MarksSeen() const;

  // What to do at the store now. `sight` tells what is known of a member.
  std::vector<RegistrationAction> Tick(
      Millis now,
      const std::function<MemberSight(const RegistrationRecord&)>& sight);
  const std::map<BootId, RegistrationRecord>& records() const {
    return records_;
  }

 private:
  struct Removal {
    int64_t revision = 0;  // Of the record with the mark.
    Millis marked_at;
    std::set<BootId> acknowledged;
    Millis half_acknowledged_at;
    bool half = false;
  };

  bool HasMajority(const std::vector<BootId>& view, Millis now) const;
  bool HalfAcknowledged(const RegistrationRecord& record,
                        const Removal& removal) const;
  std::optional<RegistrationAction> TickRemoval(
      const RegistrationRecord& record, const MemberSight& sight, Millis now);
  std::vector<BootId> CurrentView() const;
  Millis Longer(Millis it) const;

  const InstanceId instance_;
  const BootId boot_;
  const ZoneId zone_;
  const RegistrationOptions options_;
  std::map<BootId, RegistrationRecord> records_;  // As last read.
  bool read_once_ = false;
  bool registered_ = false;
  bool marked_ = false;     // The own record was seen marked.
  bool removed_ = false;    // The own record had stood and is gone: for good.
  Millis store_confirmed_;  // Begin of the last read that showed us unmarked.
  int64_t highest_revision_ = 0;
  // Views under which the own record may stand; a vouch needs a majority of
  // each. More than one only after a write whose answer was lost.
  std::vector<std::vector<BootId>> views_;
  std::map<BootId, Millis> vouched_;
  std::map<BootId, int64_t> marks_seen_;  // Revision by boot.
  std::map<BootId, Removal> removals_;
  std::map<BootId, Millis> unseen_since_;  // Neither live nor listed.
};

}  // namespace bilberrypitch
