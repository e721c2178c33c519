// Tests of the query that explains where a request would be sent.
#include <catch2/catch.hpp>
#include <string>

#include "base/json.h"
#include "gateway_fixture.h"

namespace bilberrypitch {
namespace {

class RouteFixture : public Fixture {
 public:
  CallOutcome Ask(const std::string& query, const std::string& method = "GET") {
    HttpCall call;
    call.method = method;
    call.address = peer_address();
    call.target = "/route?" + query;
    return Send(std::move(call));
  }
  json::object Decision(const std::string& query) {
    const CallOutcome outcome = Ask(query);
    CAPTURE(outcome.body);
    REQUIRE(outcome.status == 200);
    // The fixture's only key.
    REQUIRE(outcome.body.find("k1") == std::string::npos);
    return json::parse(outcome.body).as_object();
  }
  std::string Metrics() {
    HttpCall call;
    call.address = ready_address();
    call.target = "/metrics";
    std::string metrics = Send(std::move(call)).body;
    // The age of the view is no counter.
    const size_t age = metrics.find("bilberrypitch_knowledge_age_ms");
    REQUIRE(age != std::string::npos);
    return metrics.erase(age, metrics.find('\n', age) - age);
  }
};

}  // namespace

// Guards against: the explanation differs from what is done, sends something,
// or gives a key away.
TEST_CASE("an instance explains where it would send a request", "[route]") {
  RouteFixture fixture;
  fixture.WaitUntilReady();
  fixture.PutUpstream("i-2", fixture.second.address(), "draining");
  const std::string query = "host=h&path=%2Fonce%2Fx&workspace=w&tokens=10";
  json::object decision = fixture.Decision(query);
  const Millis end = EventLoop::Now() + Millis(5000);
  while (decision.at("candidates").as_array().size() < 2 &&
         EventLoop::Now() < end) {
    decision = fixture.Decision(query);
  }
  const std::string metrics = fixture.Metrics();
  REQUIRE(decision.at("decision") == "send");
  REQUIRE(decision.at("upstream") == "i-1");
  REQUIRE(decision.at("reason") == "the only candidate");
  REQUIRE(decision.at("route").at("name") == "once");
  REQUIRE(decision.at("workspace").at("id") == "w");
  const json::array& candidates = decision.at("candidates").as_array();
  REQUIRE(candidates.size() == 2);
  const json::object& parts = candidates[0].at("cost_parts_ms").as_object();
  double sum = 0;
  for (const auto& part : parts) {
    sum += part.value().as_double();
  }
  REQUIRE(sum == Approx(candidates[0].at("cost_ms").as_double()));
  REQUIRE(candidates[1].at("upstream") == "i-2");
  REQUIRE(candidates[1].at("draining") == true);
  REQUIRE(candidates[1].at("excluded") == "draining");

  for (const auto& [other, reason] :
       std::vector<std::pair<std::string, std::string>>{
           {"host=h&path=/none/x&workspace=w", "no route matches"},
           {"host=h&path=/once/x", "the route needs a workspace"},
           {"host=h&path=/once/x&workspace=v", "the workspace is not known"}}) {
    const json::object rejected = fixture.Decision(other);
    REQUIRE(rejected.at("decision") == "reject");
    REQUIRE(rejected.at("reason") == json::string(reason));
  }
  REQUIRE(fixture.Ask("host=h&path=/once/x", "POST").status == 405);
  REQUIRE(fixture.Ask("host=h&path=/once/x", "HEAD").status == 405);
  for (const char* invalid : {"", "host=h", "host=h&path=/once/x&tokens=-1",
                              "host=h&host=h&path=/once/x", "host=%zz&path=/",
                              "host=h&path=/once/x&other=1"}) {
    CAPTURE(invalid);
    REQUIRE(fixture.Ask(invalid).status == 400);
  }
  // Nothing was sent or counted.
  REQUIRE(fixture.first.requests().empty());
  REQUIRE(fixture.second.requests().empty());
  REQUIRE(fixture.Metrics() == metrics);
  // The decision is the one that is taken.
  REQUIRE(fixture.SendRequest("/once/x").status == 200);
  REQUIRE(fixture.first.requests().size() == 1);
}

}  // namespace bilberrypitch
