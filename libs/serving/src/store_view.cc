// Keeps records and deletions by the revision of their last relevant change.
#include "serving/store_view.h"

#include <algorithm>

namespace bilberrypitch {
namespace {

constexpr size_t kMaxRememberedDeletions = 4000;

}  // namespace

void StoreView::Reset(const std::vector<StoreItem>& items,
                      StoreRevision revision) {
  std::map<std::string, Record> previous = std::move(records_);
  records_.clear();
  changes_.clear();
  deletions_.clear();
  revision_ = revision;
  // Keys that were deleted earlier are not known.
  oldest_revision_ = revision;
  for (const StoreItem& item : items) {
    Apply(item, true);
  }
  for (const auto& [key, record] : previous) {
    if (record.item.revision > revision) {
      Apply(record.item, true);
    }
  }
}

void StoreView::Apply(const StoreItem& item, bool relevant) {
  if (HasRevisionOf(item)) {
    return;
  }
  auto [it, inserted] = records_.try_emplace(item.key);
  Record& record = it->second;
  bool was_deleted = !inserted && record.item.deleted;
  record.item = item;
  if (inserted || was_deleted || item.deleted || relevant) {
    SetChangedAt(item.key, &record, item.revision);
  }
  if (item.deleted) {
    deletions_.emplace(item.revision, item.key);
    ForgetOldDeletions();
  }
}

void StoreView::SetChangedAt(const std::string& key, Record* record,
                             StoreRevision revision) {
  EraseChange(key, record->changed_at);
  record->changed_at = revision;
  changes_.emplace(revision, key);
}

void StoreView::EraseChange(const std::string& key, StoreRevision revision) {
  auto [first, last] = changes_.equal_range(revision);
  auto change = std::find_if(
      first, last, [&key](const auto& entry) { return entry.second == key; });
  if (change != last) {
    changes_.erase(change);
  }
}

void StoreView::ForgetOldDeletions() {
  while (deletions_.size() > kMaxRememberedDeletions) {
    auto [revision, key] = *deletions_.begin();
    deletions_.erase(deletions_.begin());
    oldest_revision_ = std::max(oldest_revision_, revision);
    auto it = records_.find(key);
    bool still_deleted = it != records_.end() && it->second.item.deleted &&
                         it->second.item.revision == revision;
    if (still_deleted) {
      EraseChange(key, it->second.changed_at);
      records_.erase(it);
    }
  }
}

void StoreView::AdvanceTo(StoreRevision revision) {
  revision_ = std::max(revision_, revision);
}

bool StoreView::HasChangesAfter(StoreRevision revision) const {
  return revision >= oldest_revision_;
}

std::vector<StoreItem> StoreView::ChangesAfter(StoreRevision revision) const {
  std::vector<StoreItem> items;
  for (auto it = changes_.upper_bound(revision); it != changes_.end(); ++it) {
    items.push_back(records_.at(it->second).item);
  }
  return items;
}

bool StoreView::HasRelevantChangeAfter(StoreRevision revision) const {
  auto it = changes_.upper_bound(revision);
  return it != changes_.end() && it->first <= revision_;
}

bool StoreView::HasRevisionOf(const StoreItem& item) const {
  auto it = records_.find(item.key);
  return it != records_.end() && it->second.item.revision >= item.revision;
}

bool StoreView::HasLaterRevisionOf(const StoreItem& item) const {
  auto it = records_.find(item.key);
  return it != records_.end() && it->second.item.revision > item.revision;
}

std::vector<StoreItem> StoreView::AllItems() const {
  std::vector<StoreItem> items;
  for (const auto& [key, record] : records_) {
    if (!record.item.deleted) {
      items.push_back(record.item);
    }
  }
  return items;
}

}  // namespace bilberrypitch
