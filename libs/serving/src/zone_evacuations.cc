// Keeps the records of evacuated zones.
#include "serving/zone_evacuations.h"

#include "serving/store_record.h"

namespace bilberrypitch {

bool ZoneEvacuations::OnRecord(const ZoneEvacuationRecord& record,
                               const StoreItem& item) {
  if (!record.active) {
    return zones_.erase(record.zone) > 0;
  }
  auto [it, begins] = zones_.try_emplace(record.zone);
  it->second = {item.key, item.revision};
  return begins;
}

std::vector<ZoneId> ZoneEvacuations::OnFullRead(
    const std::set<std::string>& keys, StoreRevision revision) {
  std::vector<ZoneId> ended;
  std::erase_if(zones_, [&](const auto& entry) {
    const Record& record = entry.second;
    bool ends = keys.count(record.key) == 0 && record.revision <= revision;
    if (ends) {
      ended.push_back(entry.first);
    }
    return ends;
  });
  return ended;
}

}  // namespace bilberrypitch
