// Issues and parses keys.
#include "config/keys.h"

#include "base/hash.h"

namespace bilberrypitch {
namespace {

constexpr std::string_view kPrefix = "bp_";
constexpr size_t kIdBytes = 6;
constexpr size_t kSecretBytes = 24;
constexpr size_t kSaltBytes = 16;

}  // namespace

std::string HashSecret(std::string_view salt, std::string_view secret) {
  return Sha256Hex(std::string(salt) + ":" + std::string(secret));
}

IssuedKey IssueKey() {
  IssuedKey key;
  key.id = RandomHex(kIdBytes);
  key.salt = RandomHex(kSaltBytes);
  std::string secret = RandomHex(kSecretBytes);
  key.hash = HashSecret(key.salt, secret);
  key.clear = std::string(kPrefix) + key.id + "_" + secret;
  return key;
}

bool ParseKey(std::string_view clear, PresentedKey* key) {
  if (clear.substr(0, kPrefix.size()) != kPrefix) {
    return false;
  }
  clear.remove_prefix(kPrefix.size());
  size_t split = clear.find('_');
  if (split == std::string_view::npos || split == 0) {
    return false;
  }
  key->id = clear.substr(0, split);
  key->secret = clear.substr(split + 1);
  return !key->secret.empty();
}

}  // namespace bilberrypitch
