// Replays all traces of the repository, and checks that mismatches are
// reported.
#include "replay/replay.h"

#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <iterator>

namespace bilberrypitch {

TEST_CASE("all traces produce their expected outcomes") {
  int traces = 0;
  for (const auto& file : std::filesystem::directory_iterator(BP_TRACES)) {
    std::ifstream stream(file.path());
    std::string text{std::istreambuf_iterator<char>(stream), {}};
    ReplayResult result = ReplayTrace(text);
    INFO(file.path().filename().string());
    for (const std::string& line : result.mismatches) UNSCOPED_INFO(line);
    REQUIRE(result.mismatches.empty());
    REQUIRE(result.steps > 0);
    ++traces;
  }
  REQUIRE(traces >= 9);
}

TEST_CASE("a mismatch, an unknown action and an invalid trace are reported") {
  auto mismatch_count = [](const char* steps) {
    return ReplayTrace(std::string(R"({"name":"n","point":"p","steps":[)") +
                       steps + "]}")
        .mismatches.size();
  };
  REQUIRE(mismatch_count(R"({"action":"check","who":"i","name":"f",
                          "expect":["send"]})") == 0);
  REQUIRE(mismatch_count(R"({"action":"check","who":"i","name":"f",
                          "expect":["refuse"]})") == 1);
  REQUIRE(mismatch_count(R"({"action":"dance"})") == 1);
  REQUIRE(mismatch_count(R"({"action":7})") == 1);
}

}  // namespace bilberrypitch
