// Walks a JSON value along a message descriptor.
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
  unsigned char buf[sizeof(in6_addr)];
  return inet_pton(AF_INET, text.c_str(), buf) == 1 ||
         inet_pton(AF_INET6, text.c_str(), buf) == 1;
}

bool IsAddress(const std::string& text) {
  size_t colon = text.rfind(':');
  if (colon == std::string::npos) {
    return false;
  }
  // Listeners take IPv4 addresses only.
  in_addr ip{};
  bool is_ip = inet_pton(AF_INET, text.substr(0, colon).c_str(), &ip) == 1;
  int port = 0;
  const char* end = text.data() + text.size();
  auto [stop, ec] = std::from_chars(text.data() + colon + 1, end, port);
  return is_ip && ec == std::errc() && stop == end && port > 0 && port <= 65535;
}

bool IsHex(std::string_view text) {
  return !text.empty() && text.size() % 2 == 0 &&
         std::all_of(text.begin(), text.end(),
                     [](unsigned char c) { return std::isxdigit(c); });
}

bool MatchesFormat(const std::string& format, const std::string& text) {
  if (format == "name") return IsName(text);
  if (format == "ip") return IsIp(text);
  if (format == "address") return IsAddress(text);
  if (format == "hex") return IsHex(text);
  return true;
}

class Reader {
 public:
  void ReadMessage(const json::value& value, const std::string& path,
                   pb::Message* message) {
    if (!value.is_object()) {
      Fail(path, "must be an object");
      return;
    }
    const pb::Descriptor* descriptor = message->GetDescriptor();
    for (const auto& member : value.get_object()) {
      std::string name(member.key());
      const pb::FieldDescriptor* field = descriptor->FindFieldByName(name);
      if (field == nullptr) {
        Fail(Join(path, name), "is not a field of the schema");
        continue;
      }
      ReadField(member.value(), Join(path, name), field, message);
    }
    CheckPresence(value.get_object(), path, *descriptor);
  }

  std::vector<FieldError> TakeErrors() { return std::move(errors_); }

 private:
  static std::string Join(const std::string& path, const std::string& name) {
    return path.empty() ? name : path + "." + name;
  }

  static const schema::Rule& RuleOf(const pb::FieldDescriptor& field) {
    return field.options().GetExtension(schema::rule);
  }

  void Fail(const std::string& path, std::string message) {
    errors_.push_back({path.empty() ? "(whole)" : path, std::move(message)});
  }

  void CheckPresence(const json::object& object, const std::string& path,
                     const pb::Descriptor& descriptor) {
    for (int i = 0; i < descriptor.field_count(); ++i) {
      const pb::FieldDescriptor& field = *descriptor.field(i);
      const schema::Rule& rule = RuleOf(field);
      bool is_number =
          field.cpp_type() != pb::FieldDescriptor::CPPTYPE_STRING &&
          field.cpp_type() != pb::FieldDescriptor::CPPTYPE_MESSAGE;
      bool needed = rule.required() ||
                    (is_number && rule.min() > 0 && !field.has_presence());
      if (needed && object.if_contains(field.name()) == nullptr) {
        Fail(Join(path, field.name()), "is missing");
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
      Fail(path, "must be a list");
      return;
    }
    if (RuleOf(*field).required() && value.get_array().empty()) {
      Fail(path, "must not be empty");
    }
    size_t i = 0;
    for (const json::value& it : value.get_array()) {
      ReadSingle(it, fmt::format("{}[{}]", path, i++), field, message);
    }
  }

  void ReadSingle(const json::value& value, const std::string& path,
                  const pb::FieldDescriptor* field, pb::Message* message) {
    switch (field->cpp_type()) {
      case pb::FieldDescriptor::CPPTYPE_MESSAGE:
        ReadMessage(value, path, Child(field, message));
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

  static pb::Message* Child(const pb::FieldDescriptor* field,
                            pb::Message* message) {
    const pb::Reflection* reflection = message->GetReflection();
    return field->is_repeated() ? reflection->AddMessage(message, field)
                                : reflection->MutableMessage(message, field);
  }

  void ReadString(const json::value& value, const std::string& path,
                  const pb::FieldDescriptor* field, pb::Message* message) {
    if (!value.is_string()) {
      Fail(path, "must be a string");
      return;
    }
    std::string text(value.get_string());
    const schema::Rule& rule = RuleOf(*field);
    if (text.empty() && rule.required()) {
      Fail(path, "must not be empty");
    } else if (!text.empty() && !MatchesFormat(rule.format(), text)) {
      Fail(path, fmt::format("is not a valid {}", rule.format()));
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
      Fail(path, "must be true or false");
      return;
    }
    message->GetReflection()->SetBool(message, field, value.get_bool());
  }

  void ReadEnum(const json::value& value, const std::string& path,
                const pb::FieldDescriptor* field, pb::Message* message) {
    const pb::EnumValueDescriptor* it = nullptr;
    if (value.is_string()) {
      it = field->enum_type()->FindValueByName(std::string(value.get_string()));
    }
    if (it == nullptr || it->number() == 0) {
      Fail(path, "is not one of the schema's values");
      return;
    }
    message->GetReflection()->SetEnum(message, field, it);
  }

  void ReadNumber(const json::value& value, const std::string& path,
                  const pb::FieldDescriptor* field, pb::Message* message) {
    if (!value.is_number()) {
      Fail(path, "must be a number");
      return;
    }
    double number = value.to_number<double>();
    const schema::Rule& rule = RuleOf(*field);
    if (number < rule.min()) {
      Fail(path, fmt::format("must be at least {}", rule.min()));
      return;
    }
    if (rule.max() > 0 && number > rule.max()) {
      Fail(path, fmt::format("must be at most {}", rule.max()));
      return;
    }
    if (!StoreNumber(value, number, field, message)) {
      Fail(path, "must be a whole number in range");
    }
  }

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
        auto n = value.to_number<uint32_t>(ec);
        if (!ec) reflection->SetUInt32(message, field, n);
        return !ec;
      }
      case pb::FieldDescriptor::CPPTYPE_UINT64: {
        auto n = value.to_number<uint64_t>(ec);
        if (!ec) reflection->SetUInt64(message, field, n);
        return !ec;
      }
      case pb::FieldDescriptor::CPPTYPE_INT64: {
        auto n = value.to_number<int64_t>(ec);
        if (!ec) reflection->SetInt64(message, field, n);
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
  std::string out;
  for (const FieldError& it : errors) {
    out += fmt::format("{}: {}\n", it.path, it.message);
  }
  return out;
}

std::string WriteJson(const pb::Message& message, bool indent) {
  pb::util::JsonPrintOptions options;
  options.preserve_proto_field_names = true;
  options.add_whitespace = indent;
  std::string out;
  // Fails only for messages with an unknown Any, which the schema has not.
  (void)pb::util::MessageToJsonString(message, &out, options);
  return out;
}

}  // namespace bilberrypitch
