// Packs values with zlib.
#include "gateway/value_packing.h"

#include <zlib.h>

namespace bilberrypitch {
namespace {

// Smaller values fit into a few packets anyway.
constexpr size_t kMinPackedSize = 8 << 10;
// More than a store takes for a value.
constexpr size_t kMaxValueSize = 64 << 20;
constexpr int kCompressionLevel = Z_BEST_SPEED;

}  // namespace

std::optional<std::string> PackValue(const std::string& value) {
  if (value.size() < kMinPackedSize) {
    return std::nullopt;
  }
  uLongf size = compressBound(value.size());
  std::string packed(size, '\0');
  int result = compress2(reinterpret_cast<Bytef*>(packed.data()), &size,
                         reinterpret_cast<const Bytef*>(value.data()),
                         value.size(), kCompressionLevel);
  if (result != Z_OK || size >= value.size()) {
    return std::nullopt;
  }
  packed.resize(size);
  return packed;
}

std::optional<std::string> UnpackValue(const std::string& packed, size_t size) {
  if (size > kMaxValueSize) {
    return std::nullopt;
  }
  std::string value(size, '\0');
  uLongf unpacked_size = size;
  int result =
      uncompress(reinterpret_cast<Bytef*>(value.data()), &unpacked_size,
                 reinterpret_cast<const Bytef*>(packed.data()), packed.size());
  bool is_whole = result == Z_OK && unpacked_size == size;
  return is_whole ? std::optional(std::move(value)) : std::nullopt;
}

const std::string* PackedValueCache::Find(const StoreItem& item) {
  if (item.value.size() < kMinPackedSize) {
    entries_.erase(item.key);
    return nullptr;
  }
  auto [it, is_new] = entries_.try_emplace(item.key);
  Entry& entry = it->second;
  if (is_new || entry.revision != item.revision) {
    entry = {item.revision, PackValue(item.value)};
  }
  return entry.packed ? &*entry.packed : nullptr;
}

}  // namespace bilberrypitch
