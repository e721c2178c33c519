// Implements the hashes with OpenSSL and xxHash.
#include "base/hash.h"

#include <fmt/format.h>
#include <openssl/crypto.h>
#include <openssl/rand.h>
#include <openssl/sha.h>

#include <vector>

#include "base/check.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace bilberrypitch {
namespace {

std::string ToHex(const unsigned char* data, size_t byte_count) {
  std::string hex;
  hex.reserve(2 * byte_count);
  for (size_t i = 0; i < byte_count; ++i) {
    hex += fmt::format("{:02x}", data[i]);
  }
  return hex;
}

}  // namespace

std::string Sha256Hex(std::string_view bytes) {
  unsigned char digest[SHA256_DIGEST_LENGTH];
  SHA256(reinterpret_cast<const unsigned char*>(bytes.data()), bytes.size(),
         digest);
  return ToHex(digest, sizeof(digest));
}

uint64_t StableHash(std::string_view bytes) {
  return XXH3_64bits(bytes.data(), bytes.size());
}

uint64_t StableHash(std::string_view first, std::string_view second) {
  return XXH3_64bits_withSeed(second.data(), second.size(), StableHash(first));
}

std::string RandomHex(size_t byte_count) {
  std::vector<unsigned char> bytes(byte_count);
  int status = RAND_bytes(bytes.data(), static_cast<int>(byte_count));
  BP_CHECK(status == 1, "the random generator failed");
  return ToHex(bytes.data(), byte_count);
}

bool EqualInConstantTime(std::string_view first, std::string_view second) {
  if (first.size() != second.size()) {
    return false;
  }
  return CRYPTO_memcmp(first.data(), second.data(), first.size()) == 0;
}

}  // namespace bilberrypitch
