// Registrations and their removal.
#include "membership/registration.h"

#include <algorithm>

#include "base/check.h"

namespace bilberrypitch {

RegistrationKeeper::RegistrationKeeper(InstanceId instance, BootId boot,
                                       ZoneId zone, RegistrationOptions options)
    : instance_(std::move(instance)),
      boot_(std::move(boot)),
      zone_(std::move(zone)),
      options_(options) {}

Millis RegistrationKeeper::Longer(Millis it) const {
  return Millis(static_cast<int64_t>(static_cast<double>(it.count()) *
                                     (1 + 2 * options_.clock_margin)));
}

void RegistrationKeeper::OnStoreRead(
    const std::vector<RegistrationRecord>& records, int64_t revision,
    Millis begun) {
  if (revision < highest_revision_) {
    return;
  }
  highest_revision_ = revision;
  read_once_ = true;
  records_.clear();
  marks_seen_.clear();
  for (const RegistrationRecord& it : records) {
    records_[it.boot] = it;
    if (!it.marked_by.empty()) {
      marks_seen_[it.boot] = it.mod_revision;
    }
  }
  auto forgotten = [&](const auto& it) {
    return records_.count(it.first) == 0;
  };
  std::erase_if(removals_, forgotten);
  std::erase_if(unseen_since_, forgotten);
  auto own = records_.find(boot_);
  if (own == records_.end()) {
    removed_ = registered_;
    return;
  }
  registered_ = true;
  marked_ = !own->second.marked_by.empty();
  if (!marked_) {
    views_ = {own->second.view};
    store_confirmed_ = begun;
  }
}

void RegistrationKeeper::OnOwnWritten(const RegistrationRecord& record,
                                      bool sure) {
  if (sure) {
    views_ = {record.view};
  } else {
    views_.push_back(record.view);
  }
}

void RegistrationKeeper::OnVouch(const BootId& from, Millis sent) {
  Millis& latest = vouched_[from];
  latest = std::max(latest, sent);
}

void RegistrationKeeper::OnMarksSeen(const BootId& from,
                                     const std::vector<SeenMark>& marks) {
  for (const SeenMark& it : marks) {
    auto removal = removals_.find(it.boot);
    if (removal != removals_.end() && removal->second.revision == it.revision) {
      removal->second.acknowledged.insert(from);
    }
  }
}

bool RegistrationKeeper::HasMajority(const std::vector<BootId>& view,
                                     Millis now) const {
  size_t n = 0;
  for (const BootId& it : view) {
    auto vouch = vouched_.find(it);
    bool fresh =
        vouch != vouched_.end() && now - vouch->second <= options_.confirmation;
    if (it == boot_ || fresh) {
      ++n;
    }
  }
  return 2 * n > view.size();
}

bool RegistrationKeeper::Confirmed(Millis now) const {
  if (!registered_ || marked_ || removed_ || views_.empty()) {
    return false;
  }
  Millis age = now - store_confirmed_;
  if (age <= options_.confirmation) {
    return true;
  }
  if (age > options_.isolation) {
    return false;
  }
  return std::all_of(views_.begin(), views_.end(),
                     [&](const auto& view) { return HasMajority(view, now); });
}

bool RegistrationKeeper::VouchesFor(const BootId& boot) const {
  return records_.count(boot) != 0 && marks_seen_.count(boot) == 0;
}

std::vector<SeenMark> RegistrationKeeper::MarksSeen() const {
  std::vector<SeenMark> marks;
  for (const auto& [boot, revision] : marks_seen_) {
    marks.push_back({boot, revision});
  }
  return marks;
}

std::vector<BootId> RegistrationKeeper::CurrentView() const {
  std::set<BootId> view = {boot_};
  for (const auto& [boot, record] : records_) {
    if (record.marked_by.empty()) {
      view.insert(boot);
    }
  }
  return {view.begin(), view.end()};
}

bool RegistrationKeeper::HalfAcknowledged(const RegistrationRecord& record,
                                          const Removal& removal) const {
  size_t n = 0;
  for (const BootId& it : record.view) {
    if (it == boot_ || removal.acknowledged.count(it) != 0) {
      ++n;
    }
  }
  return 2 * n >= record.view.size();
}

std::optional<RegistrationAction> RegistrationKeeper::TickRemoval(
    const RegistrationRecord& record, const MemberSight& sight, Millis now) {
  if (sight.live || sight.listed) {
    unseen_since_.erase(record.boot);
    removals_.erase(record.boot);
    return std::nullopt;
  }
  Millis unseen = unseen_since_.try_emplace(record.boot, now).first->second;
  if (now - unseen < options_.confirmation) {
    return std::nullopt;
  }
  if (record.marked_by.empty()) {
    removals_.erase(record.boot);
    RegistrationRecord marked = record;
    marked.marked_by = boot_;
    return RegistrationAction{RegistrationActionKind::kMark, marked};
  }
  Removal& removal = removals_[record.boot];
  if (removal.revision != record.mod_revision) {
    removal = {record.mod_revision, now, {}, {}, false};
  }
  if (!removal.half && HalfAcknowledged(record, removal)) {
    removal.half = true;
    removal.half_acknowledged_at = now;
  }
  bool lapsed = removal.half && now - removal.half_acknowledged_at >
                                    Longer(options_.confirmation);
  bool isolated_too_long = now - removal.marked_at >
                           Longer(options_.isolation + options_.confirmation);
  if (lapsed || isolated_too_long) {
    return RegistrationAction{RegistrationActionKind::kRemove, record};
  }
  return std::nullopt;
}

std::vector<RegistrationAction> RegistrationKeeper::Tick(
    Millis now,
    const std::function<MemberSight(const RegistrationRecord&)>& sight) {
  std::vector<RegistrationAction> actions;
  if (!read_once_ || removed_) {
    return actions;
  }
  std::vector<BootId> view = CurrentView();
  auto own = records_.find(boot_);
  if (own == records_.end() || marked_ || own->second.view != view) {
    RegistrationRecord record;
    record.instance = instance_;
    record.boot = boot_;
    record.zone = zone_;
    record.view = view;
    record.mod_revision = own == records_.end() ? 0 : own->second.mod_revision;
    actions.push_back({RegistrationActionKind::kWriteOwn, record});
  }
  if (!Confirmed(now)) {
    return actions;
  }
  for (const auto& [boot, record] : records_) {
    if (boot == boot_) {
      continue;
    }
    if (auto action = TickRemoval(record, sight(record), now)) {
      actions.push_back(*action);
    }
  }
  return actions;
}

}  // namespace bilberrypitch
