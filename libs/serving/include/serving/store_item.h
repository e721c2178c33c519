// A key in the platform's store, with its value and metadata.
#pragma once

#include <cstdint>
#include <string>

#include "serving/store_revision.h"

namespace bilberrypitch {

struct StoreItem {
  std::string key;
  std::string value;
  StoreRevision revision;  // Of the last change.
  int64_t created = 0;     // Number of the revision that created the key.
  int64_t lease = 0;       // Lease to which the key is bound; 0: none.
  bool deleted = false;    // Watch event: the key was deleted at `revision`.
};

}  // namespace bilberrypitch
