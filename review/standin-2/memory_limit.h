// The platform's limit on a machine's memory, and what callers lose by it.
#pragma once

#include <cstdint>

#include "bookings.h"
#include "support.h"

namespace review {

// Kills the machine's process as soon as it has more than `limits.memoryMb` in
// memory, and then ends the bookings. Returns the exit code of the case.
int EnforceMemoryLimit(Record* record, Machine* machine, Bookings* bookings,
                       int64_t duration_ms);

}  // namespace review
