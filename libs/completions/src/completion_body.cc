// Reads the body of a completion request without building a JSON tree.
#include "completion_body.h"

#include <boost/json/basic_parser_impl.hpp>
#include <cstdint>
#include <limits>
#include <string>
#include <utility>

namespace bilberrypitch {
namespace {

// Longer than each name of a field that is kept. Longer keys are not collected.
constexpr size_t kMaxNameBytes = 32;

// Receives the events of json::basic_parser. All return true: the parser itself
// finds what is malformed.
class BodyHandler {
 public:
  // The parser prescribes these names. There are no limits beyond that of the
  // body.
  // NOLINTBEGIN(readability-identifier-naming)
  static const size_t max_object_size = std::numeric_limits<size_t>::max();
  static const size_t max_array_size = std::numeric_limits<size_t>::max();
  static const size_t max_key_size = std::numeric_limits<size_t>::max();
  static const size_t max_string_size = std::numeric_limits<size_t>::max();
  // NOLINTEND(readability-identifier-naming)

  bool on_document_begin(json::error_code&) { return true; }
  bool on_document_end(json::error_code&) { return true; }
  bool on_object_begin(json::error_code&) {
    is_object_ = is_object_ || depth_ == 0;
    return Open(json::object_kind);
  }
  bool on_object_end(size_t, json::error_code&) { return Close(); }
  bool on_array_begin(json::error_code&) { return Open(json::array_kind); }
  bool on_array_end(size_t, json::error_code&) { return Close(); }
  bool on_key_part(json::string_view part, size_t total, json::error_code&) {
    return AppendKey(part, total);
  }
  bool on_key(json::string_view part, size_t total, json::error_code&) {
    AppendKey(part, total);
    if (depth_ == 1) {
      field_ = total <= kMaxNameBytes ? FieldOf(key_) : nullptr;
    }
    key_.clear();
    return true;
  }
  bool on_string_part(json::string_view part, size_t total, json::error_code&) {
    return AppendString(part, total);
  }
  bool on_string(json::string_view part, size_t total, json::error_code&) {
    return AppendString(part, total);
  }
  bool on_number_part(json::string_view, json::error_code&) { return true; }
  bool on_int64(int64_t value, json::string_view, json::error_code&) {
    return Store(value);
  }
  bool on_uint64(uint64_t value, json::string_view, json::error_code&) {
    return Store(value);
  }
  bool on_double(double value, json::string_view, json::error_code&) {
    return Store(value);
  }
  bool on_bool(bool value, json::error_code&) { return Store(value); }
  bool on_null(json::error_code&) { return Store(nullptr); }
  bool on_comment_part(json::string_view, json::error_code&) { return true; }
  bool on_comment(json::string_view, json::error_code&) { return true; }

  bool is_object() const { return is_object_; }
  CompletionBody TakeBody() { return std::move(body_); }

 private:
  bool KeepsValue() const { return depth_ == 1 && field_ != nullptr; }

  json::value* FieldOf(std::string_view name) {
    if (name == "model") {
      return &body_.model;
    }
    if (name == "max_completion_tokens") {
      return &body_.max_completion_tokens;
    }
    return name == "max_tokens" ? &body_.max_tokens : nullptr;
  }

  template <typename Value>
  bool Store(Value value) {
    if (KeepsValue()) {
      *field_ = value;
    }
    return true;
  }

  template <typename Kind>
  bool Open(Kind kind) {
    Store(kind);
    ++depth_;
    return true;
  }

  bool Close() {
    --depth_;
    return true;
  }

  // `total` is the size of the key up to the end of `part`.
  bool AppendKey(json::string_view part, size_t total) {
    if (depth_ == 1 && total <= kMaxNameBytes) {
      key_.append(part.data(), part.size());
    }
    return true;
  }

  // `total` is the size of the string up to the end of `part`.
  bool AppendString(json::string_view part, size_t total) {
    if (!KeepsValue()) {
      return true;
    }
    if (total == part.size()) {
      field_->emplace_string();
    }
    if (field_ == &body_.model) {
      field_->as_string().append(part);
    }
    return true;
  }

  CompletionBody body_;
  // Arrays and objects that are open.
  size_t depth_ = 0;
  // The parts so far of the current key of the top-level object.
  std::string key_;
  // Where the value of the last key of the top-level object goes; null if it is
  // not kept. Always null if the document is an array.
  json::value* field_ = nullptr;
  bool is_object_ = false;
};

}  // namespace

std::optional<CompletionBody> ReadCompletionBody(std::string_view text) {
  // The default options bound the nesting to 32 levels.
  json::basic_parser<BodyHandler> parser{json::parse_options()};
  json::error_code ec;
  size_t used = parser.write_some(false, text.data(), text.size(), ec);
  if (ec || used < text.size() || !parser.handler().is_object()) {
    return std::nullopt;
  }
  return parser.handler().TakeBody();
}

}  // namespace bilberrypitch
