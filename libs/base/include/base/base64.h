// Base64 with padding (RFC 4648, section 4).
#pragma once

#include <string>
#include <string_view>

namespace bilberrypitch {

std::string ToBase64(const std::string& bytes);
// Decodes `text`; returns an empty string when it is not valid base64.
std::string FromBase64(std::string_view text);

}  // namespace bilberrypitch
