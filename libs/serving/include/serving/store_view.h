// An instance's copy of the store's records, kept so that other instances can
// follow the store through this one.
//
// For each key the view knows the revision of its last *relevant* change. An
// upstream's heartbeat that states nothing new replaces the record but does not
// count as a change, so it is not passed on. Deleted keys are remembered for as
// long as the history reaches back.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "serving/store_item.h"
#include "serving/store_revision.h"

namespace bilberrypitch {

// Not thread-safe.
class StoreView {
 public:
  // Replaces the content by the result of a full read at `revision`, but for
  // records that were written after it. Changes after `revision` follow by
  // Apply.
  void Reset(const std::vector<StoreItem>& items, StoreRevision revision);
  // Applies a record that was written or deleted. `relevant`: it differs from
  // the key's previous record in something that an instance uses. Ignored if
  // the view has a newer record of the key.
  void Apply(const StoreItem& item, bool relevant);
  // The view now contains all changes up to `revision`.
  void AdvanceTo(StoreRevision revision);

  StoreRevision revision() const { return revision_; }
  // Whether ChangesAfter(`revision`) is complete.
  bool HasChangesAfter(StoreRevision revision) const;
  // Relevant changes after `revision`, the latest of each key, in the order of
  // their revisions.
  std::vector<StoreItem> ChangesAfter(StoreRevision revision) const;
  // Whether there are any, up to the revision of the view. A full read may
  // contain later ones; a follower that has taken them would still ask for
  // changes after the revision of the view.
  bool HasRelevantChangeAfter(StoreRevision revision) const;
  // Whether the view has a record of the key, which may be its deletion.
  bool Has(const std::string& key) const { return records_.count(key) > 0; }
  // Whether the view has this write of the key or a later one.
  bool HasRevisionOf(const StoreItem& item) const;
  // Whether the view has a later write of the key.
  bool HasLaterRevisionOf(const StoreItem& item) const;
  // All records, without deleted keys.
  std::vector<StoreItem> AllItems() const;

 private:
  struct Record {
    StoreItem item;
    StoreRevision changed_at;  // Revision of the last relevant change.
  };

  void SetChangedAt(const std::string& key, Record* record,
                    StoreRevision revision);
  void EraseChange(const std::string& key, StoreRevision revision);
  void ForgetOldDeletions();

  std::map<std::string, Record> records_;  // Includes deleted keys.
  // Key by the revision of its last relevant change. One transaction can change
  // several keys at the same revision.
  std::multimap<StoreRevision, std::string> changes_;
  // Revisions and keys of deletions that are remembered, oldest first.
  std::multimap<StoreRevision, std::string> deletions_;
  StoreRevision revision_;
  // Deletions up to this revision are forgotten.
  StoreRevision oldest_revision_;
};

}  // namespace bilberrypitch
