// The members of an availability zone in the order in which they serve as its
// readers: larger machines first, then by a hash.
#pragma once

#include <vector>

#include "serving/ownership.h"

namespace bilberrypitch {

// How many of a zone's members watch the store.
size_t ReaderCount(size_t members);
// Whether `first` precedes `second` in the order on which all members agree.
bool PrecedesAsReader(const MachineId& first, double first_cpu_share,
                      const MachineId& second, double second_cpu_share);
// Returns the readers among the members of one zone.
std::vector<ClusterMember> ReadersOf(std::vector<ClusterMember> members);

}  // namespace bilberrypitch
