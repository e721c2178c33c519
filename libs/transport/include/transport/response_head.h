// Reads the head of a response line by line and finds heads that are made of
// the bytes of two responses.
//
// An upstream in trouble may send a part of an earlier response once more. If
// that part breaks off within the head, the head of the next response follows
// it, and both would be read as one: with the status of the one and the fields
// of the other.
//
// A final response has a status from 200 to 599. Any other status, but those of
// interim responses, makes the head malformed. All calls of the HTTP clients
// are read here, so no other code checks this.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

#include "transport/http_message.h"

namespace bilberrypitch {

enum class BodyFraming : uint8_t;

class ResponseHead {
 public:
  // For all lines of a response: of its head, its interim responses and its
  // trailers.
  static constexpr size_t kMaxBytes = 64 << 10;

  enum class Progress : uint8_t {
    kIncomplete,
    kComplete,  // The head of the final response.
    // Not the head of one response, with an invalid status, or with more than
    // one framing or one that can't be read; nothing of it can be trusted.
    kMalformed,
    kTooLarge,
  };

  // Reads one line, with the end of the line.
  Progress Feed(std::string_view line);
  int status() const { return status_; }
  const HttpHeaders& headers() const { return headers_; }
  // How the body ends that follows the complete head of the response to a
  // request with `method`.
  BodyFraming framing(std::string_view method) const;
  // An estimate of the memory that it takes, here and in libcurl.
  size_t cost() const;
  // Whether the connection may be used again after the response.
  bool keeps_connection() const;

 private:
  Progress ReadLine(std::string_view line);
  Progress ReadStatusLine(std::string_view line);
  Progress ReadField(std::string_view line);
  Progress EndBlock();
  bool HasOneFraming() const;

  // What the next line is a part of.
  enum class Part : uint8_t { kStatusLine, kFields, kTrailers };

  Part part_ = Part::kStatusLine;
  int status_ = 0;            // Of the latest status line.
  bool is_http_1_0_ = false;  // As the latest status line says.
  HttpHeaders headers_;
  size_t bytes_ = 0;
  size_t lines_ = 0;
};

}  // namespace bilberrypitch
