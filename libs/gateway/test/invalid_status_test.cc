// Tests of upstreams, engines, the store and other instances that answer with a
// status that is none of a final response.
#include <algorithm>
#include <atomic>
#include <catch2/catch.hpp>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "gateway/cluster_records.h"
#include "platform/store_client.h"
#include "raw_exchange.h"
#include "scripted_upstream.h"

namespace bilberrypitch {
namespace {

const std::vector<std::string> kInvalidStatuses = {
    "000", "0",   "20",   "099", "100", "101", "199",
    "600", "999", "1000", "+20", "-20", "2x0"};
constexpr char kEvents[] = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";

// A response in the framing that the last segment of `path` names.
std::string Answer(const std::string& status, std::string fields,
                   const std::string& path) {
  const bool is_stream = path.find("/stream/") != std::string::npos;
  const std::string body = is_stream ? kEvents : "the answer";
  fields += is_stream ? "Content-Type: text/event-stream\r\n" : "";
  const std::string framing = path.substr(path.rfind('/') + 1);
  if (framing == "length") {
    return ResponseText(status + " Status", fields, body);
  }
  const std::string head = "HTTP/1.1 " + status + " Status\r\n" + fields;
  if (framing == "chunked") {
    return head + "Transfer-Encoding: chunked\r\n\r\n" +
           fmt::format("{:x}\r\n{}\r\n0\r\n\r\n", body.size(), body);
  }
  return head + "\r\n" + body;
}

void CloseAfterAnswer(ScriptedConnection* connection, const std::string& path) {
  if (path.ends_with("/close")) {
    asio::error_code ec;
    connection->socket.shutdown(asio::socket_base::shutdown_both, ec);
  }
}

std::string SignedFields(const std::string& id) {
  return "Request-Id: " + id + "\r\nAnswer-Stamp: stamp\r\n";
}

// The caller gets one message that says that the request may have run.
void CheckInvalid(const RawExchange& exchange) {
  const StrictMessage response = exchange.response();
  CAPTURE(exchange.bytes());
  REQUIRE(response.sound());
  REQUIRE(response.size == exchange.bytes().size());
  REQUIRE(response.status() == 502);
  REQUIRE(response.body.find("\"not_run\":\"unknown\"") != std::string::npos);
}

}  // namespace

// Guards against: a caller gets a status that its HTTP library takes for an
// error of its own or for an interim response, or is told that the request has
// not run.
TEST_CASE("an invalid status is no response to a request", "[invalid_status]") {
  const std::string status = GENERATE(from_range(kInvalidStatuses));
  // With a signature, without one, and as a rejection.
  const std::string fields =
      GENERATE("Answer-Stamp: stamp\r\n", "", "Not-Run: 1\r\n");
  CAPTURE(status, fields);
  RunCounter runs;
  ScriptedUpstream upstream([&](ScriptedConnection* connection,
                                const ScriptedRequest& request) {
    runs.Add(request.id);
    connection->Write(Answer(
        status, "Request-Id: " + request.id + "\r\n" + fields, request.path));
    CloseAfterAnswer(connection, request.path);
  });
  Fixture fixture;
  fixture.PutUpstream("i-1", upstream.address(), "ready", 2);
  fixture.WaitUntilReady();
  std::vector<std::unique_ptr<RawExchange>> exchanges;
  std::vector<std::string> once;
  for (const char* route : {"/once/", "/stream/", "/read/"}) {
    for (const char* framing : {"length", "chunked", "close"}) {
      const std::string id = "raw" + std::to_string(exchanges.size());
      if (std::string_view(route) != "/read/") {
        once.push_back(id);
      }
      exchanges.push_back(std::make_unique<RawExchange>(
          fixture.caller_address(),
          RawRequest("POST", std::string(route) + framing, id),
          StrictCaller()));
    }
  }
  fixture.WaitUntil([&] {
    return std::all_of(exchanges.begin(), exchanges.end(),
                       [](const auto& it) { return it->done(); });
  });
  for (const auto& exchange : exchanges) {
    CheckInvalid(*exchange);
  }
  for (const std::string& id : once) {
    REQUIRE(runs.Of(id) == 1);
  }
}

// Guards against: the same on a connection that served requests before, where
// the HTTP library may send a request again.
TEST_CASE("an invalid status is no response on a kept connection",
          "[invalid_status]") {
  const std::string status = GENERATE(from_range(kInvalidStatuses));
  const std::string path = GENERATE("/once/length", "/stream/chunked");
  CAPTURE(status, path);
  RunCounter runs;
  std::atomic<int> answers_on_connection = 0;
  ScriptedUpstream upstream(
      [&](ScriptedConnection* connection, const ScriptedRequest& request) {
        runs.Add(request.id);
        answers_on_connection = connection->requests;
        connection->Write(Answer(connection->requests > 2 ? status : "200",
                                 SignedFields(request.id), request.path));
      });
  Fixture fixture;
  fixture.PutUpstream("i-1", upstream.address(), "ready", 2);
  fixture.WaitUntilReady();
  REQUIRE(fixture.SendRequest(path).status == 200);
  REQUIRE(fixture.SendRequest(path).status == 200);
  RawExchange exchange(fixture.caller_address(),
                       RawRequest("POST", path, "raw"), StrictCaller());
  fixture.WaitUntil([&] { return exchange.done(); });
  REQUIRE(answers_on_connection == 3);
  CheckInvalid(exchange);
  REQUIRE(runs.Of("raw") == 1);
}

// Guards against: a relaying instance passes on what another instance must not
// have written.
TEST_CASE("an invalid status is no response of another instance",
          "[invalid_status]") {
  const std::string status = GENERATE(from_range(kInvalidStatuses));
  CAPTURE(status);
  RunCounter runs;
  std::atomic<int> relayed = 0;
  ScriptedUpstream peer([&](ScriptedConnection* connection,
                            const ScriptedRequest& request) {
    if (!request.path.starts_with("/relay/")) {
      connection->Write(ResponseText("503 Busy", "", ""));
      return;
    }
    ++relayed;
    runs.Add(request.id);
    connection->Write(Answer(status, SignedFields(request.id), request.path));
    CloseAfterAnswer(connection, request.path);
  });
  Fixture fixture;
  ClusterMember member{MachineId("m9"), BootId("b9"), ZoneId("y"),
                       peer.address(), 0.1};
  fixture.store.Put(MemberKey(member), EncodeMember(member));
  fixture.PutUpstream("i-1", LocalAddress(FreePort()), "ready", 2);
  fixture.PutUpstream("i-2", LocalAddress(FreePort()), "ready", 2);
  const Millis end = EventLoop::Now() + Millis(5000);
  while (relayed == 0 && EventLoop::Now() < end) {
    fixture.SendRequest("/once/length");
  }
  REQUIRE(relayed > 0);
  int last_id = 0;
  for (const char* path :
       {"/once/length", "/once/chunked", "/once/close", "/stream/chunked"}) {
    CAPTURE(path);
    const std::string id = "raw" + std::to_string(++last_id);
    RawExchange exchange(fixture.caller_address(), RawRequest("POST", path, id),
                         StrictCaller());
    fixture.WaitUntil([&] { return exchange.done(); });
    CheckInvalid(exchange);
    REQUIRE(runs.Of(id) == 1);
  }
}

// Guards against: the store's era, an order or a report is believed although
// nothing has answered.
TEST_CASE("an invalid status is no response of the store or an engine",
          "[invalid_status]") {
  const std::string status = GENERATE(from_range(kInvalidStatuses));
  const bool on_new_connection = GENERATE(true, false);
  CAPTURE(status, on_new_connection);
  const std::string body =
      R"({"at":5,"rev":5,"items":[],"events":[],"lease":7,"ttlMs":1000,)"
      R"("seq":3,"models":[]})";
  std::atomic<bool> sound = !on_new_connection;
  ScriptedUpstream peer(
      [&](ScriptedConnection* connection, const ScriptedRequest&) {
        connection->Write(
            ResponseText((sound.exchange(false) ? "200" : status) + " Status",
                         "Store-Era: 1\r\n", body));
      });
  EventLoop loop;
  EventLoopHttpClient client(&loop);
  platform::StoreClient store(&client, peer.address());
  platform::EngineClient engines(&client);
  const auto read_page = [&] {
    StorePage page;
    store.ReadPage("servers/", "", [&](const StorePage& it) {
      page = it;
      loop.Stop();
    });
    loop.Restart();
    loop.Run();
    return page;
  };
  if (!on_new_connection) {
    REQUIRE(read_page().outcome == StoreOutcome::kOk);
  }
  const StorePage page = read_page();
  REQUIRE(page.outcome == StoreOutcome::kUnknown);
  REQUIRE_FALSE(page.era);
  EngineOrder order;
  order.address = peer.address();
  int ended = 0;
  const auto count = [&](bool ok) {
    REQUIRE(ok);
    if (++ended == 3) {
      loop.Stop();
    }
  };
  store.Commit({{}, {{"k", "v", 0}}, {}}, [&](const StoreCommitResult& it) {
    count(it.outcome == StoreOutcome::kUnknown && !it.era);
  });
  engines.SendOrder(order, [&](OrderOutcome outcome) {
    count(outcome == OrderOutcome::kUnknown);
  });
  engines.FetchReport(UpstreamId("i-9"), peer.address(),
                      [&](bool ok, const EngineReport&) { count(!ok); });
  loop.Restart();
  loop.Run();
}

}  // namespace bilberrypitch
