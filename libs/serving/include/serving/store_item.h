// What lies in the platform's store.
#pragma once

#include <cstdint>
#include <string>

namespace bilberrypitch {

struct StoreItem {
  std::string key;
  std::string value;
  int64_t revision = 0;  // Of its last change.
  int64_t created = 0;   // Revision of its creation.
  int64_t lease = 0;     // 0: none.
  bool deleted = false;  // In a watch: the key is gone since `revision`.
};

}  // namespace bilberrypitch
