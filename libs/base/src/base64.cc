// Implements base64 with OpenSSL.
#include "base/base64.h"

#include <openssl/evp.h>

namespace bilberrypitch {

std::string ToBase64(const std::string& bytes) {
  std::string text(4 * ((bytes.size() + 2) / 3) + 1, '\0');
  int length =
      EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()),
                      reinterpret_cast<const unsigned char*>(bytes.data()),
                      static_cast<int>(bytes.size()));
  text.resize(static_cast<size_t>(length));
  return text;
}

std::string FromBase64(std::string_view text) {
  std::string bytes(3 * (text.size() / 4) + 3, '\0');
  int length =
      EVP_DecodeBlock(reinterpret_cast<unsigned char*>(bytes.data()),
                      reinterpret_cast<const unsigned char*>(text.data()),
                      static_cast<int>(text.size()));
  if (length < 0) {
    return "";
  }
  size_t size = static_cast<size_t>(length);
  for (size_t i = 0; i < 2 && i < text.size(); ++i) {
    // OpenSSL counts the padding as decoded bytes.
    size -= text[text.size() - 1 - i] == '=' ? 1 : 0;
  }
  bytes.resize(size);
  return bytes;
}

}  // namespace bilberrypitch
