// Implements the JSON reader by walking a JSON value along the descriptor of
// the message.
#include "schema/json_reader.h"

#include <arpa/inet.h>
#include <fmt/format.h>
#include <google/protobuf/message.h>
#include <google/protobuf/util/json_util.h>

#include <algorithm>
#include <cctype>
#include <charconv>

#include "base/json.h"
#include "schema/rules.pb.h"

namespace bilberrypitch {
namespace {

namespace pb = google::protobuf;

bool IsName(std::string_view text) {
  auto allowed = [](unsigned char c) {
    return std::isalnum(c) || c == '-' || c == '_' || c == '.';
  };
  return !text.empty() && text.size() <= 128 &&
         std::all_of(text.begin(), text.end(), allowed);
}

bool IsIp(const std::string& text) {
  unsigned char address[sizeof(in6_addr)];
  return inet_pton(AF_INET, text.c_str(), address) == 1 ||
         inet_pton(AF_INET6, text.c_str(), address) == 1;
}

bool IsAddress(const std::string& text) {
  size_t colon = text.rfind(':');
  if (colon == std::string::npos) {
    return false;
  }
  // Listeners support IPv4 addresses only.
  in_addr ip{};
  bool is_ipv4 = inet_pton(AF_INET, text.substr(0, colon).c_str(), &ip) == 1;
  int port = 0;
  const char* end = text.data() + text.size();
  auto [parsed_end, ec] = std::from_chars(text.data() + colon + 1, end, port);
  return is_ipv4 && ec == std::errc() && parsed_end == end && port > 0 &&
         port <= 65535;
}

bool IsHex(std::string_view text) {
  return !text.empty() && text.size() % 2 == 0 &&
         std::all_of(text.begin(), text.end(),
                     [](unsigned char c) { return std::isxdigit(c); });
}

// `format` is one of the formats of Rule in rules.proto; any other value
// accepts every text.
bool MatchesFormat(const std::string& format, const std::string& text) {
  if (format == "name") return IsName(text);
  if (format == "ip") return IsIp(text);
  if (format == "address") return IsAddress(text);
  if (format == "hex") return IsHex(text);
  return true;
}

// Reads one JSON document and collects the errors of all its fields.
class Reader {
 public:
  // Reads `value` into `message`. `path` is empty for the whole document.
  void ReadMessage(const json::value& value, const std::string& path,
                   pb::Message* message) {
    if (!value.is_object()) {
      AddError(path, "must be an object");
      return;
    }
    const pb::Descriptor* descriptor = message->GetDescriptor();
    for (const auto& member : value.get_object()) {
      std::string name(member.key());
      const pb::FieldDescriptor* field = descriptor->FindFieldByName(name);
      if (field == nullptr) {
        AddError(JoinPath(path, name), "is not a field of the schema");
        continue;
      }
      ReadField(member.value(), JoinPath(path, name), field, message);
    }
    CheckRequiredFields(value.get_object(), path, *descriptor);
  }

  std::vector<FieldError> TakeErrors() { return std::move(errors_); }

 private:
  static std::string JoinPath(const std::string& path,
                              const std::string& name) {
    return path.empty() ? name : path + "." + name;
  }

  static const schema::Rule& RuleOf(const pb::FieldDescriptor& field) {
    return field.options().GetExtension(schema::rule);
  }

  void AddError(const std::string& path, std::string message) {
    errors_.push_back({path.empty() ? "(whole)" : path, std::move(message)});
  }

  // Adds an error for each missing field that is required, or whose rule
  // excludes the default value 0.
  void CheckRequiredFields(const json::object& object, const std::string& path,
                           const pb::Descriptor& descriptor) {
    for (int i = 0; i < descriptor.field_count(); ++i) {
      const pb::FieldDescriptor& field = *descriptor.field(i);
      const schema::Rule& rule = RuleOf(field);
      bool is_number =
          field.cpp_type() != pb::FieldDescriptor::CPPTYPE_STRING &&
          field.cpp_type() != pb::FieldDescriptor::CPPTYPE_MESSAGE;
      bool is_required = rule.required() ||
                         (is_number && rule.min() > 0 && !field.has_presence());
      if (is_required && object.if_contains(field.name()) == nullptr) {
        AddError(JoinPath(path, field.name()), "is missing");
      }
    }
  }

  void ReadField(const json::value& value, const std::string& path,
                 const pb::FieldDescriptor* field, pb::Message* message) {
    if (!field->is_repeated()) {
      ReadSingle(value, path, field, message);
      return;
    }
    if (!value.is_array()) {
      AddError(path, "must be a list");
      return;
    }
    if (RuleOf(*field).required() && value.get_array().empty()) {
      AddError(path, "must not be empty");
    }
    size_t index = 0;
    for (const json::value& item : value.get_array()) {
      ReadSingle(item, fmt::format("{}[{}]", path, index++), field, message);
    }
  }

  void ReadSingle(const json::value& value, const std::string& path,
                  const pb::FieldDescriptor* field, pb::Message* message) {
    switch (field->cpp_type()) {
      case pb::FieldDescriptor::CPPTYPE_MESSAGE:
        ReadMessage(value, path, Submessage(field, message));
        return;
      case pb::FieldDescriptor::CPPTYPE_STRING:
        ReadString(value, path, field, message);
        return;
      case pb::FieldDescriptor::CPPTYPE_BOOL:
        ReadBool(value, path, field, message);
        return;
      case pb::FieldDescriptor::CPPTYPE_ENUM:
        ReadEnum(value, path, field, message);
        return;
      default:
        ReadNumber(value, path, field, message);
        return;
    }
  }

  // Returns the submessage of `field`; appends one when the field is a list.
  static pb::Message* Submessage(const pb::FieldDescriptor* field,
                                 pb::Message* message) {
    const pb::Reflection* reflection = message->GetReflection();
    return field->is_repeated() ? reflection->AddMessage(message, field)
                                : reflection->MutableMessage(message, field);
  }

  void ReadString(const json::value& value, const std::string& path,
                  const pb::FieldDescriptor* field, pb::Message* message) {
    if (!value.is_string()) {
      AddError(path, "must be a string");
      return;
    }
    std::string text(value.get_string());
    const schema::Rule& rule = RuleOf(*field);
    if (text.empty() && rule.required()) {
      AddError(path, "must not be empty");
    } else if (!text.empty() && !MatchesFormat(rule.format(), text)) {
      AddError(path, fmt::format("is not a valid {}", rule.format()));
    }
    const pb::Reflection* reflection = message->GetReflection();
    if (field->is_repeated()) {
      reflection->AddString(message, field, text);
    } else {
      reflection->SetString(message, field, text);
    }
  }

  void ReadBool(const json::value& value, const std::string& path,
                const pb::FieldDescriptor* field, pb::Message* message) {
    if (!value.is_bool()) {
      AddError(path, "must be true or false");
      return;
    }
    message->GetReflection()->SetBool(message, field, value.get_bool());
  }

  void ReadEnum(const json::value& value, const std::string& path,
                const pb::FieldDescriptor* field, pb::Message* message) {
    const pb::EnumValueDescriptor* enum_value = nullptr;
    if (value.is_string()) {
      enum_value =
          field->enum_type()->FindValueByName(std::string(value.get_string()));
    }
    if (enum_value == nullptr || enum_value->number() == 0) {
      AddError(path, "is not one of the schema's values");
      return;
    }
    message->GetReflection()->SetEnum(message, field, enum_value);
  }

  void ReadNumber(const json::value& value, const std::string& path,
                  const pb::FieldDescriptor* field, pb::Message* message) {
    if (!value.is_number()) {
      AddError(path, "must be a number");
      return;
    }
    double number = value.to_number<double>();
    const schema::Rule& rule = RuleOf(*field);
    if (number < rule.min()) {
      AddError(path, fmt::format("must be at least {}", rule.min()));
      return;
    }
    if (rule.max() > 0 && number > rule.max()) {
      AddError(path, fmt::format("must be at most {}", rule.max()));
      return;
    }
    if (!StoreNumber(value, number, field, message)) {
      AddError(path, "must be a whole number in range");
    }
  }

  // Returns false when `value` does not fit into the field's integer type.
  static bool StoreNumber(const json::value& value, double number,
                          const pb::FieldDescriptor* field,
                          pb::Message* message) {
    const pb::Reflection* reflection = message->GetReflection();
    boost::system::error_code ec;
    switch (field->cpp_type()) {
      case pb::FieldDescriptor::CPPTYPE_DOUBLE:
        reflection->SetDouble(message, field, number);
        return true;
      case pb::FieldDescriptor::CPPTYPE_UINT32: {
        auto integer = value.to_number<uint32_t>(ec);
        if (!ec) reflection->SetUInt32(message, field, integer);
        return !ec;
      }
      case pb::FieldDescriptor::CPPTYPE_UINT64: {
        auto integer = value.to_number<uint64_t>(ec);
        if (!ec) reflection->SetUInt64(message, field, integer);
        return !ec;
      }
      case pb::FieldDescriptor::CPPTYPE_INT64: {
        auto integer = value.to_number<int64_t>(ec);
        if (!ec) reflection->SetInt64(message, field, integer);
        return !ec;
      }
      default:
        return false;
    }
  }

  std::vector<FieldError> errors_;
};

}  // namespace

std::vector<FieldError> ReadJson(std::string_view text, pb::Message* message) {
  boost::system::error_code ec;
  json::value value = json::parse(text, ec);
  if (ec) {
    return {{"(whole)", "is not valid JSON: " + ec.message()}};
  }
  Reader reader;
  reader.ReadMessage(value, "", message);
  return reader.TakeErrors();
}

std::string FormatErrors(const std::vector<FieldError>& errors) {
  std::string text;
  for (const FieldError& error : errors) {
    text += fmt::format("{}: {}\n", error.path, error.message);
  }
  return text;
}

std::string WriteJson(const pb::Message& message, bool indent) {
  pb::util::JsonPrintOptions options;
  options.preserve_proto_field_names = true;
  options.add_whitespace = indent;
  std::string text;
  // Fails only for messages that contain an unknown Any; the schema has none.
  (void)pb::util::MessageToJsonString(message, &text, options);
  return text;
}

}  // namespace bilberrypitch
