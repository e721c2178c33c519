// Hashes by OpenSSL and xxHash.
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

std::string ToHex(const unsigned char* data, size_t n) {
  std::string out;
  out.reserve(2 * n);
  for (size_t i = 0; i < n; ++i) {
    out += fmt::format("{:02x}", data[i]);
  }
  return out;
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

std::string RandomHex(size_t n) {
  std::vector<unsigned char> buf(n);
  int ok = RAND_bytes(buf.data(), static_cast<int>(n));
  BP_CHECK(ok == 1, "the system's random generator answers");
  return ToHex(buf.data(), n);
}

bool EqualInConstantTime(std::string_view first, std::string_view second) {
  if (first.size() != second.size()) {
    return false;
  }
  return CRYPTO_memcmp(first.data(), second.data(), first.size()) == 0;
}

}  // namespace bilberrypitch
