// Implements the order of readers.
#include "serving/zone_readers.h"

#include <algorithm>
#include <tuple>

#include "base/hash.h"

namespace bilberrypitch {
namespace {

// A zone has one reader, and another one for each of these members, up to the
// maximum.
constexpr size_t kMembersPerReader = 16;
constexpr size_t kMaxReaders = 3;

uint64_t HashOf(const MachineId& machine) {
  return StableHash("store-reader", machine.str());
}

}  // namespace

size_t ReaderCount(size_t members) {
  return std::min(kMaxReaders, 1 + members / kMembersPerReader);
}

bool PrecedesAsReader(const MachineId& first, double first_cpu_share,
                      const MachineId& second, double second_cpu_share) {
  uint64_t first_hash = HashOf(first);
  uint64_t second_hash = HashOf(second);
  return std::tie(second_cpu_share, first_hash, first) <
         std::tie(first_cpu_share, second_hash, second);
}

std::vector<ClusterMember> ReadersOf(std::vector<ClusterMember> members) {
  std::sort(members.begin(), members.end(),
            [](const ClusterMember& first, const ClusterMember& second) {
              return PrecedesAsReader(first.machine, first.cpu_share,
                                      second.machine, second.cpu_share);
            });
  members.resize(std::min(members.size(), ReaderCount(members.size())));
  return members;
}

}  // namespace bilberrypitch
