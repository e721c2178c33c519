// Implements the strict reading of HTTP/1.1 messages.
#include "strict_http.h"

#include <algorithm>
#include <cctype>

namespace bilberrypitch {
namespace {

constexpr std::string_view kLineEnd = "\r\n";

// Fields that may stand once in a message.
constexpr std::string_view kSingleFields[] = {
    "Content-Length",  "Transfer-Encoding",
    "Content-Type",    "Connection",
    "Keep-Alive",      "Date",
    "Retry-After",     "Host",
    "Location",        "Request-Id",
    "X-Request-Id",    "Answer-Stamp",
    "Deadline-Ms",     "Expect-Instance",
    "Tenant",          "Last-Event-Id",
    "Authorization",   "Expect-Version",
    "Request-Priority"};

bool SameName(std::string_view first, std::string_view second) {
  return std::equal(first.begin(), first.end(), second.begin(), second.end(),
                    [](unsigned char a, unsigned char b) {
                      return std::tolower(a) == std::tolower(b);
                    });
}

bool IsToken(std::string_view text) {
  return !text.empty() &&
         std::all_of(text.begin(), text.end(), [](unsigned char c) {
           return std::isalnum(c) != 0 ||
                  std::string_view("!#$%&'*+-.^_`|~")
                          .find(static_cast<char>(c)) != std::string_view::npos;
         });
}

bool AllDigits(std::string_view text) {
  constexpr size_t kMostDigits = 15;
  return !text.empty() && text.size() <= kMostDigits &&
         std::all_of(text.begin(), text.end(),
                     [](unsigned char c) { return std::isdigit(c) != 0; });
}

bool HasControl(std::string_view text) {
  return std::any_of(text.begin(), text.end(), [](unsigned char c) {
    return (c < ' ' && c != '\t') || c == 127;
  });
}

std::string_view TrimBlanks(std::string_view text) {
  while (!text.empty() && (text.front() == ' ' || text.front() == '\t')) {
    text.remove_prefix(1);
  }
  while (!text.empty() && (text.back() == ' ' || text.back() == '\t')) {
    text.remove_suffix(1);
  }
  return text;
}

// The bytes of one message that are not read yet.
class Reader {
 public:
  Reader(std::string_view bytes, StrictMessage* message)
      : rest_(bytes), message_(message) {}

  bool Fail(std::string fault) {
    message_->fault = std::move(fault);
    return false;
  }

  // Returns false if the bytes end within the line.
  bool Line(std::string_view* line) {
    size_t end = rest_.find(kLineEnd);
    if (end == std::string_view::npos) {
      return rest_.find('\n') == std::string_view::npos
                 ? false
                 : Fail("a line ends without a carriage return");
    }
    *line = rest_.substr(0, end);
    Skip(end + kLineEnd.size());
    if (HasControl(*line)) {
      return Fail("a line holds a control character");
    }
    return true;
  }

  bool Bytes(size_t count, std::string* to) {
    if (rest_.size() < count) {
      return false;
    }
    to->append(rest_.substr(0, count));
    Skip(count);
    return true;
  }

  std::string_view rest() const { return rest_; }
  void Skip(size_t count) {
    rest_.remove_prefix(count);
    message_->size += count;
  }

 private:
  std::string_view rest_;
  StrictMessage* const message_;
};

// Reads lines of fields up to the empty line.
bool ReadFields(Reader* reader,
                std::vector<std::pair<std::string, std::string>>* fields) {
  std::string_view line;
  while (reader->Line(&line)) {
    if (line.empty()) {
      return true;
    }
    size_t colon = line.find(':');
    if (colon == std::string_view::npos || !IsToken(line.substr(0, colon))) {
      return reader->Fail("no field: " + std::string(line));
    }
    fields->emplace_back(line.substr(0, colon),
                         TrimBlanks(line.substr(colon + 1)));
  }
  return false;
}

bool CheckSingleFields(Reader* reader, const StrictMessage& message) {
  for (std::string_view name : kSingleFields) {
    if (message.CountOf(name) > 1) {
      return reader->Fail("twice: " + std::string(name));
    }
  }
  return true;
}

bool ReadChunks(Reader* reader, std::string* body) {
  std::string_view line;
  while (reader->Line(&line)) {
    bool is_size = !line.empty() && line.size() <= 8 &&
                   std::all_of(line.begin(), line.end(), [](unsigned char c) {
                     return std::isxdigit(c) != 0;
                   });
    if (!is_size) {
      return reader->Fail("no chunk size: " + std::string(line));
    }
    size_t size = std::stoul(std::string(line), nullptr, 16);
    if (size == 0) {
      std::vector<std::pair<std::string, std::string>> trailers;
      return ReadFields(reader, &trailers);
    }
    std::string end;
    if (!reader->Bytes(size, body) || !reader->Bytes(2, &end)) {
      return false;
    }
    if (end != kLineEnd) {
      return reader->Fail("a chunk is longer than its size");
    }
  }
  return false;
}

// Reads the body that a length or chunks bound. `has_framing`: whether one of
// them stands in the head.
bool ReadFramedBody(Reader* reader, StrictMessage* message, bool* has_framing) {
  const bool has_length = message->CountOf("Content-Length") > 0;
  const bool has_coding = message->CountOf("Transfer-Encoding") > 0;
  *has_framing = has_length || has_coding;
  if (has_length && has_coding) {
    return reader->Fail("both Transfer-Encoding and Content-Length");
  }
  if (has_coding) {
    if (!SameName(message->ValueOf("Transfer-Encoding"), "chunked")) {
      return reader->Fail("another coding than chunked");
    }
    return ReadChunks(reader, &message->body);
  }
  if (has_length) {
    const std::string length = message->ValueOf("Content-Length");
    if (!AllDigits(length)) {
      return reader->Fail("no length: " + length);
    }
    return reader->Bytes(std::stoul(length), &message->body);
  }
  return true;
}

bool IsStatusLine(std::string_view line) {
  constexpr std::string_view kVersion = "HTTP/1.1 ";
  constexpr size_t kStatusEnd = kVersion.size() + 3;
  return line.starts_with(kVersion) && line.size() > kStatusEnd &&
         AllDigits(line.substr(kVersion.size(), 3)) && line[kStatusEnd] == ' ';
}

bool ReadResponseBody(Reader* reader, const StrictCaller& caller, bool ended,
                      StrictMessage* message) {
  const int status = message->status();
  const bool is_head = caller.method == "HEAD";
  const bool has_coding = message->CountOf("Transfer-Encoding") > 0;
  const bool has_length = message->CountOf("Content-Length") > 0;
  const bool never_has_body = status < 200 || status == 204 || status == 304;
  if (never_has_body && (has_coding || has_length)) {
    return reader->Fail("a framing where there is no body");
  }
  if (has_coding && (caller.is_http_1_0 || is_head)) {
    return reader->Fail("a coding that the caller can't have");
  }
  if (never_has_body) {
    return true;
  }
  if (is_head) {
    return !has_length || AllDigits(message->ValueOf("Content-Length")) ||
           reader->Fail("no length");
  }
  bool has_framing = false;
  if (!ReadFramedBody(reader, message, &has_framing)) {
    return false;
  }
  if (has_framing) {
    return true;
  }
  if (!caller.is_http_1_0) {
    return reader->Fail("no framing");
  }
  message->body = std::string(reader->rest());
  reader->Skip(reader->rest().size());
  return ended;
}

}  // namespace

int StrictMessage::status() const {
  return IsStatusLine(start_line) ? std::stoi(start_line.substr(9, 3)) : 0;
}

size_t StrictMessage::CountOf(std::string_view name) const {
  return std::count_if(fields.begin(), fields.end(), [name](const auto& field) {
    return SameName(field.first, name);
  });
}

std::string StrictMessage::ValueOf(std::string_view name) const {
  for (const auto& [field_name, value] : fields) {
    if (SameName(field_name, name)) {
      return value;
    }
  }
  return "";
}

StrictMessage ReadStrictResponse(std::string_view bytes,
                                 const StrictCaller& caller, bool ended) {
  StrictMessage message;
  Reader reader(bytes, &message);
  do {
    message.fields.clear();
    std::string_view line;
    if (!reader.Line(&line)) {
      return message;
    }
    message.start_line = line;
    if (!IsStatusLine(line)) {
      reader.Fail("no status line: " + message.start_line);
      return message;
    }
    if (!ReadFields(&reader, &message.fields) ||
        !CheckSingleFields(&reader, message)) {
      return message;
    }
    if (caller.is_http_1_0 && message.status() < 200) {
      reader.Fail("an interim response to a caller of HTTP/1.0");
      return message;
    }
  } while (message.status() < 200 && message.status() != 101);
  message.complete = ReadResponseBody(&reader, caller, ended, &message);
  return message;
}

StrictMessage ReadStrictRequest(std::string_view bytes) {
  StrictMessage message;
  Reader reader(bytes, &message);
  std::string_view line;
  if (!reader.Line(&line)) {
    return message;
  }
  message.start_line = line;
  const size_t blanks = std::count(line.begin(), line.end(), ' ');
  if (blanks != 2 || !line.ends_with(" HTTP/1.1")) {
    reader.Fail("no request line: " + message.start_line);
    return message;
  }
  if (!ReadFields(&reader, &message.fields) ||
      !CheckSingleFields(&reader, message)) {
    return message;
  }
  if (message.CountOf("Host") != 1) {
    reader.Fail("no Host");
    return message;
  }
  bool has_framing = false;
  message.complete = ReadFramedBody(&reader, &message, &has_framing);
  return message;
}

}  // namespace bilberrypitch
