// Tests of upstreams that end their connection within the head of a response.
#include <atomic>
#include <catch2/catch.hpp>
#include <chrono>
#include <thread>

#include "scripted_upstream.h"

namespace bilberrypitch {
namespace {

enum class ConnectionEnd : uint8_t { kClose, kReset };

struct CutCase {
  std::string framing;  // Fields of the head.
  std::string path;
  std::string body;
};

const std::string kEvent = "id: 1\ndata: a\n\n";

// A sound answer of the same kind, after which the connection is used again.
std::string SoundPath(const std::string& cut_path) {
  return cut_path.starts_with("/stream/") ? "/stream/sound" : "/once/sound";
}

std::string SoundBody(const std::string& path) {
  return path.starts_with("/stream/") ? kEvent : "sound";
}

void End(ScriptedConnection* connection, ConnectionEnd end) {
  asio::error_code ec;
  if (end == ConnectionEnd::kReset) {
    // Lets the bytes be read first; a reset discards unread ones.
    std::this_thread::sleep_for(std::chrono::milliseconds(3));
    connection->socket.set_option(asio::socket_base::linger(true, 0), ec);
    connection->socket.close(ec);
    return;
  }
  connection->socket.shutdown(asio::socket_base::shutdown_both, ec);
}

std::string SignedFields(const std::string& id) {
  return "Request-Id: " + id + "\r\nAnswer-Stamp: stamp\r\n";
}

std::string HeadText(const CutCase& cut_case, const std::string& id) {
  return "HTTP/1.1 200 OK\r\n" + cut_case.framing + SignedFields(id) + "\r\n";
}

}  // namespace

// Guards against: a response that breaks off within its head reaches the caller
// as a whole success with an empty or short body.
TEST_CASE("a response that ends within its head is never a success",
          "[cut_head]") {
  const std::string event_stream = "Content-Type: text/event-stream\r\n";
  const auto cut_case = GENERATE_COPY(
      CutCase{"Content-Length: 4\r\n", "/once/cut", "done"},
      CutCase{"Transfer-Encoding: chunked\r\n", "/once/cut",
              "4\r\ndone\r\n0\r\n\r\n"},
      CutCase{"", "/once/cut", "done"},
      CutCase{event_stream + "Content-Length: 15\r\n", "/stream/cut",
              "id: 1\ndata: a\n\n"},
      CutCase{event_stream + "Transfer-Encoding: chunked\r\n", "/stream/cut",
              "f\r\nid: 1\ndata: a\n\n\r\n0\r\n\r\n"},
      CutCase{event_stream, "/stream/cut", "id: 1\ndata: a\n\n"});
  const ConnectionEnd end =
      GENERATE(ConnectionEnd::kClose, ConnectionEnd::kReset);
  const bool kept = GENERATE(false, true);
  std::atomic<size_t> cut = 0;
  std::atomic<int> cuts_made = 0;
  std::atomic<int> earlier_requests = 0;
  ScriptedUpstream upstream(
      [&](ScriptedConnection* connection, const ScriptedRequest& request) {
        if (request.path == SoundPath(cut_case.path)) {
          connection->Write(ResponseText("200 OK", SignedFields(request.id),
                                         SoundBody(request.path)));
          return;
        }
        ++cuts_made;
        earlier_requests += connection->requests - 1;
        std::string text = HeadText(cut_case, request.id) + cut_case.body;
        connection->Write(text.substr(0, cut));
        End(connection, end);
      });
  Fixture fixture;
  fixture.PutUpstream("i-1", upstream.address(), "ready", 2);
  fixture.WaitUntilReady();
  const size_t head_size =
      HeadText(
          cut_case,
          std::string(
              fixture.CallTo(cut_case.path, "k1").headers.Get("Request-Id")))
          .size();
  CAPTURE(cut_case.framing, cut_case.path, kept, static_cast<int>(end));
  int expected_cuts = 0;
  for (cut = 0; cut < head_size; ++cut) {
    CAPTURE(cut.load());
    if (kept) {
      const std::string sound = SoundPath(cut_case.path);
      REQUIRE(fixture.SendRequest(sound).body == SoundBody(sound));
    }
    CallOutcome outcome = fixture.SendRequest(cut_case.path);
    ++expected_cuts;
    bool success = outcome.result == CallResult::kComplete &&
                   outcome.status >= 200 && outcome.status < 300;
    CAPTURE(outcome.status, outcome.body);
    REQUIRE_FALSE(success);
    // The upstream was asked, on the kind of connection that is meant.
    REQUIRE(cuts_made >= expected_cuts);
    REQUIRE((earlier_requests > 0) == kept);
  }
}

}  // namespace bilberrypitch
