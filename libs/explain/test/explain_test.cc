// Tests of the timeline of a request.
#include "explain/explain.h"

#include <catch2/catch.hpp>

namespace bilberrypitch {
namespace {

const NamedLog kFirst{
    "entry-1",
    "2026-12-04T07:17:20.000Z info gateway: Started machine=entry-1.\n"
    "2026-12-04T07:17:28.100Z info config: Version 6 in force, revision=9.\n"
    "2026-12-04T07:17:28.900Z info request: Attempt id=r2 send=1 "
    "upstream=e1 end=4 status=0 ms=315 next=3.\n"
    "a line that is no log line\n"
    "2026-12-04T07:17:28.901Z info request: Ended id=r2 outcome=failed "
    "status=502 ms=815 sends=1 upstream=e1 config=6.\n"
    "2026-12-04T07:17:28.950Z info request: Ended id=r22 outcome=answered "
    "status=200 ms=5 sends=1 upstream=e1 config=6.\n"};
const NamedLog kSecond{
    "entry-2",
    "2026-12-04T07:17:28.850Z info upstream: Leaves id=e1 draining=false.\n"
    "2026-12-04T07:17:28.860Z info upstream: Leaves id=e7 draining=false.\n"
    "2026-12-04T07:17:40.000Z info store: Lost while watching.\n"};

}  // namespace

TEST_CASE(
    "a timeline has the request's lines and their context in chronological "
    "order") {
  std::vector<std::string> timeline = ExplainRequest("r2", {kFirst, kSecond});
  REQUIRE(timeline.size() == 4);
  REQUIRE(timeline[0].find("Version 6 in force") != std::string::npos);
  REQUIRE(timeline[1].find("entry-2 2026") == 0);
  REQUIRE(timeline[1].find("Leaves id=e1") != std::string::npos);
  REQUIRE(timeline[2].find("end=broken") != std::string::npos);
  REQUIRE(timeline[2].find("next=failed.") != std::string::npos);
  REQUIRE(timeline[3].find("outcome=failed") != std::string::npos);
}

TEST_CASE("a request id that no log contains has an empty timeline") {
  REQUIRE(ExplainRequest("r", {kFirst, kSecond}).empty());
  REQUIRE(ExplainRequest("", {kFirst}).empty());
  REQUIRE(ExplainRequest("r2", {}).empty());
}

}  // namespace bilberrypitch
