// Tests of the JSON reader.
#include <catch2/catch.hpp>

#include "schema/document.pb.h"
#include "schema/json_reader.h"
#include "schema/settings.pb.h"

namespace bilberrypitch {
namespace {

bool HasPath(const std::vector<FieldError>& errors, const std::string& path) {
  for (const FieldError& it : errors) {
    if (it.path == path) return true;
  }
  return false;
}

}  // namespace

TEST_CASE("all errors are found at once, each with its path") {
  schema::Settings settings;
  auto errors = ReadJson(R"({"instance":"a b","zone":7,"bind_ip":"localhost",
      "caller_port":70000,"colour":"blue","store_address":"127.0.0.1:1",
      "sizes":{"body_bytes":1}})",
                         &settings);
  for (const char* path :
       {"instance", "zone", "bind_ip", "caller_port", "colour", "operator_port",
        "peer_port", "list_address", "sizes.body_bytes"}) {
    INFO(path);
    REQUIRE(HasPath(errors, path));
  }
  REQUIRE(errors.size() == 9);
}

TEST_CASE("a document round-trips") {
  schema::Document document;
  const char* text = R"({"workspaces":[{"name":"w","rate_tokens_per_s":10.5,
      "burst_tokens":100}],"fleet":{"zones":[{"name":"z","slots":3}]}})";
  REQUIRE(ReadJson(text, &document).empty());
  schema::Document again;
  REQUIRE(ReadJson(WriteJson(document, true), &again).empty());
  REQUIRE(again.workspaces(0).rate_tokens_per_s() == 10.5);
}

TEST_CASE("text that is not JSON names the whole") {
  schema::Settings settings;
  REQUIRE(HasPath(ReadJson("{", &settings), "(whole)"));
}

}  // namespace bilberrypitch
