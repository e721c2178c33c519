// Keys of callers: `bp_ID_SECRET`. The secret is shown once and kept hashed.
#pragma once

#include <string>
#include <string_view>

namespace bilberrypitch {

namespace schema {
class Key;
}

// A key as it is handed to its owner, and what is kept of it.
struct IssuedKey {
  std::string clear;  // Shown once; never logged or kept.
  std::string id;
  std::string salt;
  std::string hash;
};

IssuedKey IssueKey();

// The parts of a presented key. Views into the argument.
struct PresentedKey {
  std::string_view id;
  std::string_view secret;
};

// False when the text has not the shape of a key.
bool ParseKey(std::string_view clear, PresentedKey* key);

std::string HashSecret(std::string_view salt, std::string_view secret);

}  // namespace bilberrypitch
