// Hashes, random ids and constant-time comparison.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace bilberrypitch {

// Returns the SHA-256 of `bytes` as lower-case hex.
std::string Sha256Hex(std::string_view bytes);

// A fast, non-cryptographic 64-bit hash that is the same on every instance.
uint64_t StableHash(std::string_view bytes);
// Hashes a pair of strings; the order matters.
uint64_t StableHash(std::string_view first, std::string_view second);

// Returns `byte_count` bytes from a cryptographic random generator as hex.
std::string RandomHex(size_t byte_count);

// Compares without leaking through timing where the strings differ. The lengths
// are not protected.
bool EqualInConstantTime(std::string_view first, std::string_view second);

}  // namespace bilberrypitch
