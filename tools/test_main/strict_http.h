// Reads HTTP/1.1 messages from raw bytes by the strict reading of RFC 9112 and
// says what is wrong with them. It shares no code with the product, which it
// judges, and forgives nothing that another recipient might not.
#pragma once

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace bilberrypitch {

struct StrictMessage {
  std::string start_line;
  std::vector<std::pair<std::string, std::string>> fields;
  std::string body;  // Without the framing of chunks.
  // What is wrong; empty for a sound message.
  std::string fault;
  // False if the bytes end before the message does.
  bool complete = false;
  // Of the bytes that were read.
  size_t size = 0;

  bool sound() const { return complete && fault.empty(); }
  // Of a response; 0 if the start line names none.
  int status() const;
  size_t CountOf(std::string_view name) const;
  // Of the first such field; empty if there is none.
  std::string ValueOf(std::string_view name) const;
};

// What the response's framing depends on.
struct StrictCaller {
  std::string method = "POST";
  bool is_http_1_0 = false;
};

// Reads the final response at the start of `bytes`, behind interim ones.
// `ended`: the connection has been closed behind them.
StrictMessage ReadStrictResponse(std::string_view bytes,
                                 const StrictCaller& caller, bool ended);
// Reads the request at the start of `bytes`.
StrictMessage ReadStrictRequest(std::string_view bytes);

}  // namespace bilberrypitch
