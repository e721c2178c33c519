// The availability zones that the operator has evacuated: no new request is
// sent to their upstreams.
//
// A zone is evacuated for as long as its record is in the store. The last known
// state applies while the store is unavailable.
//
// No I/O: the calling code reports the records and the full reads.
#pragma once

#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "serving/ids.h"
#include "serving/store_item.h"
#include "serving/store_revision.h"

namespace bilberrypitch {

struct ZoneEvacuationRecord;

// Not thread-safe.
class ZoneEvacuations {
 public:
  // The record was written or deleted, as `item` states. Returns whether the
  // evacuation of the zone begins or ends by that.
  bool OnRecord(const ZoneEvacuationRecord& record, const StoreItem& item);
  // A full read at `revision` found these keys. Evacuations whose key is absent
  // have ended, unless the key was written later. Returns their zones.
  std::vector<ZoneId> OnFullRead(const std::set<std::string>& keys,
                                 StoreRevision revision);

  bool IsEvacuated(const ZoneId& zone) const { return zones_.count(zone) > 0; }
  size_t size() const { return zones_.size(); }

 private:
  struct Record {
    std::string key;
    StoreRevision revision;  // Of its latest write.
  };

  std::map<ZoneId, Record> zones_;
};

}  // namespace bilberrypitch
