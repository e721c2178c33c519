// Compression of large values in messages between instances and in records of
// theirs. A configuration of thousands of routes becomes a tenth of its size.
#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <string>

#include "serving/store_item.h"
#include "serving/store_revision.h"

namespace bilberrypitch {

// Returns nothing if compression would not make the value smaller.
std::optional<std::string> PackValue(const std::string& value);
// `size`: of the value that was packed. Returns nothing if the bytes are no
// such value, or if it is larger than any value of the store.
std::optional<std::string> UnpackValue(const std::string& packed, size_t size);

// Keeps the packed values of the items that are passed on, so that each is
// packed once for all followers. Not thread-safe.
class PackedValueCache {
 public:
  // Returns null if the value is passed on as it is. Valid until the next call.
  const std::string* Find(const StoreItem& item);

 private:
  struct Entry {
    StoreRevision revision;
    std::optional<std::string> packed;
  };

  std::map<std::string, Entry> entries_;  // By key; of large values only.
};

}  // namespace bilberrypitch
