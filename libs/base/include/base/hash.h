// Hashes, random ids and constant-time comparison.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace bilberrypitch {

// SHA-256 in lower-case hex.
std::string Sha256Hex(std::string_view bytes);

// A fast stable 64-bit hash; the same on every instance.
uint64_t StableHash(std::string_view bytes);
uint64_t StableHash(std::string_view first, std::string_view second);

// `n` random bytes from the system's generator, in hex.
std::string RandomHex(size_t n);

// Compares without leaking where the strings differ.
bool EqualInConstantTime(std::string_view first, std::string_view second);

}  // namespace bilberrypitch
