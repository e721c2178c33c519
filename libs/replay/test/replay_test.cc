// Every trace of the repository gives its stated outcomes, and a wrong
// statement is noticed.
#include "replay/replay.h"

#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <iterator>

namespace bilberrypitch {

TEST_CASE("the traces give their stated outcomes") {
  int traces = 0;
  for (const auto& it : std::filesystem::directory_iterator(BP_TRACES)) {
    std::ifstream in(it.path());
    std::string text{std::istreambuf_iterator<char>(in), {}};
    ReplayResult result = ReplayTrace(text);
    INFO(it.path().filename().string());
    for (const std::string& line : result.mismatches) UNSCOPED_INFO(line);
    REQUIRE(result.mismatches.empty());
    REQUIRE(result.steps > 0);
    ++traces;
  }
  REQUIRE(traces >= 9);
}

TEST_CASE("a difference, an unknown action and a bad trace are told") {
  auto differences = [](const char* steps) {
    return ReplayTrace(std::string(R"({"name":"n","point":"p","steps":[)") +
                       steps + "]}")
        .mismatches.size();
  };
  REQUIRE(differences(R"({"action":"check","who":"i","name":"f",
                          "expect":["send"]})") == 0);
  REQUIRE(differences(R"({"action":"check","who":"i","name":"f",
                          "expect":["refuse"]})") == 1);
  REQUIRE(differences(R"({"action":"dance"})") == 1);
  REQUIRE(differences(R"({"action":7})") == 1);
}

}  // namespace bilberrypitch
