// Tests of the JSON reader.
#include <catch2/catch.hpp>

#include "schema/json_reader.h"
#include "schema/settings.pb.h"
#include "schema/trace.pb.h"

namespace bilberrypitch {
namespace {

bool HasPath(const std::vector<FieldError>& errors, const std::string& path) {
  for (const FieldError& error : errors) {
    if (error.path == path) return true;
  }
  return false;
}

}  // namespace

TEST_CASE("one pass reports all errors with their paths") {
  schema::Settings settings;
  auto errors = ReadJson(
      R"({"log_level":7,"completions_address":"localhost:1","colour":"blue"})",
      &settings);
  for (const char* path : {"log_level", "completions_address", "colour"}) {
    INFO(path);
    REQUIRE(HasPath(errors, path));
  }
  REQUIRE(errors.size() == 3);
  for (const char* address :
       {"[::1]:80", "127.0.0.1", "127.0.0.1:0", "127.0.0.1:70000", ":80"}) {
    INFO(address);
    std::string text = R"({"completions_address":")" + std::string(address);
    REQUIRE(HasPath(ReadJson(text + "\"}", &settings), "completions_address"));
  }
  REQUIRE(
      ReadJson(R"({"completions_address":"127.0.0.1:80"})", &settings).empty());
  schema::Trace trace;
  errors = ReadJson(R"({"point":"p","steps":[{"at_ms":1}]})", &trace);
  REQUIRE(HasPath(errors, "name"));
  REQUIRE(HasPath(errors, "steps[0].action"));
  REQUIRE(errors.size() == 2);
}

TEST_CASE("a message round-trips") {
  schema::Trace trace;
  const char* text = R"({"name":"n","point":"p",
      "steps":[{"action":"take","tokens":10.5,"expect":["granted"]}]})";
  REQUIRE(ReadJson(text, &trace).empty());
  schema::Trace reread;
  REQUIRE(ReadJson(WriteJson(trace, true), &reread).empty());
  REQUIRE(reread.steps(0).tokens() == 10.5);
}

TEST_CASE("invalid JSON is reported for the whole document") {
  schema::Settings settings;
  REQUIRE(HasPath(ReadJson("{", &settings), "(whole)"));
}

}  // namespace bilberrypitch
