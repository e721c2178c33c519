// Tests of upstreams that send a stream without end in the smallest pieces.
#include <asio.hpp>
#include <atomic>
#include <catch2/catch.hpp>
#include <functional>
#include <string>
#include <thread>
#include <vector>

#include "scripted_upstream.h"
#include "transport/address.h"

namespace bilberrypitch {
namespace {

// Within it, other requests are answered, and faulty streams ended.
constexpr Millis kMaxDelay{500};
// Of the fixture's route for streams.
constexpr Millis kStreamTimeout{2000};
constexpr int kChunksPerWrite = 2000;
constexpr char kSoundStream[] = "/stream/sound";
constexpr char kSoundEvent[] = "id: 1\ndata: a\n\n";
// The upstream has a capacity of 6, and the other requests need one of them.
constexpr int kMostStreams = 5;

using NextEvent = std::function<std::string()>;

// Events with the ids 1, 2, 3 and so on.
NextEvent Numbered() {
  return [id = uint64_t{0}]() mutable {
    return fmt::format("id: {}\ndata: a\n\n", ++id);
  };
}

NextEvent Repeated(const std::string& event) {
  return [event] { return event; };
}

// What an upstream saw of its endless streams.
struct EndlessStreams {
  std::atomic<int> begun = 0;
  std::atomic<int> ended = 0;
  std::atomic<int> requests_before = 0;  // On their connections.
};

// Answers requests under /stream/ with events, each in a chunk of its own,
// until the gateway closes; others at once.
void RespondWithoutEnd(ScriptedConnection* connection,
                       const ScriptedRequest& request, NextEvent next,
                       EndlessStreams* streams) {
  const std::string fields =
      "Request-Id: " + request.id + "\r\nAnswer-Stamp: stamp\r\n";
  if (!request.path.starts_with("/stream/")) {
    connection->Write(ResponseText("200 OK", fields, "done"));
    return;
  }
  if (request.path == kSoundStream) {
    connection->Write(ResponseText("200 OK", fields, kSoundEvent));
    return;
  }
  streams->requests_before += connection->requests - 1;
  ++streams->begun;
  connection->Write("HTTP/1.1 200 OK\r\n" + fields +
                    "Transfer-Encoding: chunked\r\n\r\n");
  asio::error_code ec;
  while (!ec) {
    std::string piece;
    for (int i = 0; i < kChunksPerWrite; ++i) {
      const std::string event = next();
      piece += fmt::format("{:x}\r\n{}\r\n", event.size(), event);
    }
    asio::write(connection->socket, asio::buffer(piece), ec);
  }
  ++streams->ended;
}

asio::ip::tcp::socket OpenStream(asio::io_context* context,
                                 const std::string& to, int number) {
  asio::ip::tcp::socket caller(*context);
  std::optional<Address> address = ParseAddress(to);
  caller.connect({asio::ip::make_address(address->ip), address->port});
  asio::write(caller,
              asio::buffer("POST /stream/x HTTP/1.1\r\nHost: h\r\n"
                           "Request-Id: endless" +
                           std::to_string(number) +
                           "\r\nDeadline-Ms: 30000\r\n"
                           "Authorization: Token k1\r\nConnection: close\r\n"
                           "Content-Length: 4\r\n\r\nbody"));
  return caller;
}

void ReadUntilClosed(asio::ip::tcp::socket* caller) {
  std::string buf(64 << 10, ' ');
  asio::error_code ec;
  while (!ec) {
    caller->read_some(asio::buffer(buf), ec);
  }
}

struct OtherRequests {
  int failures = 0;
  Millis longest{0};
  Millis streams_lasted{0};  // Until the upstream saw the first one's end.
};

// Calls `n` endless streams, and sends other requests one after another until
// the streams have ended for the upstream and for callers that read.
OtherRequests SendBesideStreams(Fixture* fixture, EndlessStreams* streams,
                                int n, bool callers_read) {
  asio::io_context context;
  const Millis begun_at = EventLoop::Now();
  std::vector<asio::ip::tcp::socket> callers;
  callers.reserve(n);
  for (int i = 0; i < n; ++i) {
    callers.push_back(OpenStream(&context, fixture->caller_address(), i));
  }
  const int n_readers = callers_read ? n : 0;
  std::atomic<int> readers = n_readers;
  std::vector<std::thread> threads;
  threads.reserve(n_readers);
  for (int i = 0; i < n_readers; ++i) {
    threads.emplace_back([&readers, caller = &callers[i]] {
      ReadUntilClosed(caller);
      --readers;
    });
  }
  fixture->WaitUntil([&] { return streams->begun == n; });
  OtherRequests others;
  auto send_another = [&] {
    Millis sent_at = EventLoop::Now();
    others.failures += fixture->SendRequest("/once/x").status == 200 ? 0 : 1;
    others.longest = std::max(others.longest, EventLoop::Now() - sent_at);
  };
  while (streams->ended == 0) {
    send_another();
  }
  others.streams_lasted = EventLoop::Now() - begun_at;
  while (streams->ended < n || readers > 0) {
    send_another();
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  callers.clear();
  send_another();
  return others;
}

}  // namespace

// Guards against: streams in tiny pieces hold up the requests of all others.
TEST_CASE("an endless stream of tiny events holds up no other request",
          "[endless]") {
  const int n = GENERATE(1, kMostStreams);
  const bool callers_read = GENERATE(false, true);
  CAPTURE(n, callers_read);
  EndlessStreams streams;
  ScriptedUpstream upstream(
      [&](ScriptedConnection* connection, const ScriptedRequest& request) {
        RespondWithoutEnd(connection, request, Numbered(), &streams);
      });
  Fixture fixture;
  fixture.PutUpstream("i-1", upstream.address(), "ready", 2);
  fixture.WaitUntilReady();
  // The first requests of the upstream, so the streams have new connections.
  OtherRequests others = SendBesideStreams(&fixture, &streams, n, callers_read);
  REQUIRE(streams.begun == n);
  REQUIRE(streams.requests_before == 0);
  // Nothing ended them but their time.
  REQUIRE(others.streams_lasted >= kStreamTimeout);
  REQUIRE(others.failures == 0);
  REQUIRE(others.longest < kMaxDelay);
}

// Guards against: a stream that never holds a new event lasts until its
// deadline, or holds up the requests of all others.
TEST_CASE("an endless stream without new events is ended", "[endless]") {
  const std::string event = GENERATE("\n", "\n\n", "id: 1\ndata: a\n\n");
  const bool caller_reads = GENERATE(false, true);
  const bool kept_connection = GENERATE(false, true);
  CAPTURE(event, caller_reads, kept_connection);
  EndlessStreams streams;
  ScriptedUpstream upstream(
      [&](ScriptedConnection* connection, const ScriptedRequest& request) {
        RespondWithoutEnd(connection, request, Repeated(event), &streams);
      });
  Fixture fixture;
  fixture.PutUpstream("i-1", upstream.address(), "ready", 2);
  fixture.WaitUntilReady();
  if (kept_connection) {
    // Streams use a connection again after one whose events were in sequence.
    REQUIRE(fixture.SendRequest(kSoundStream).status == 200);
  }
  OtherRequests others = SendBesideStreams(&fixture, &streams, 1, caller_reads);
  REQUIRE(streams.begun == 1);
  REQUIRE(streams.requests_before == (kept_connection ? 1 : 0));
  REQUIRE(others.streams_lasted < kMaxDelay);
  REQUIRE(others.failures == 0);
  REQUIRE(others.longest < kMaxDelay);
}

// Guards against: a sound stream is cut since it arrives faster than the loop
// writes it.
TEST_CASE("a fast stream of several megabytes reaches a caller that reads",
          "[endless]") {
  constexpr size_t kEvents = 400000;
  constexpr size_t kIdBytes = 10;  // "id: " and six digits.
  const std::string data = "\ndata: abcd\n\n";
  ScriptedUpstream upstream(
      [&](ScriptedConnection* connection, const ScriptedRequest& request) {
        std::string response = "HTTP/1.1 200 OK\r\nRequest-Id: " + request.id +
                               "\r\nAnswer-Stamp: stamp\r\n"
                               "Transfer-Encoding: chunked\r\n\r\n";
        for (size_t i = 1; i <= kEvents; ++i) {
          const std::string event = fmt::format("id: {:06}{}", i, data);
          response += fmt::format("{:x}\r\n{}\r\n", event.size(), event);
        }
        connection->Write(response + "0\r\n\r\n");
      });
  Fixture fixture;
  fixture.PutUpstream("i-1", upstream.address(), "ready", 2);
  fixture.WaitUntilReady();
  HttpCall call = fixture.CallTo("/stream/x", "k1");
  call.max_response_bytes = 16 << 20;
  CallOutcome outcome = fixture.Send(std::move(call));
  REQUIRE(outcome.result == CallResult::kComplete);
  REQUIRE(outcome.body.size() == kEvents * (data.size() + kIdBytes));
}

// Guards against: an upstream that repeats events without end keeps its stream
// until the deadline.
TEST_CASE("a stream with more events than its request may produce is ended",
          "[endless]") {
  EndlessStreams streams;
  ScriptedUpstream upstream(
      [&](ScriptedConnection* connection, const ScriptedRequest& request) {
        RespondWithoutEnd(connection, request, Repeated("id: 1\ndata: a\n\n"),
                          &streams);
      });
  Fixture fixture;
  fixture.PutUpstream("i-1", upstream.address(), "ready", 2);
  fixture.WaitUntilReady();
  HttpCall call = fixture.CallTo("/stream/x", "k1");
  call.headers.Add("Tokens", "1,20");
  Millis sent_at = EventLoop::Now();
  CallOutcome outcome = fixture.Send(call);
  REQUIRE(outcome.result == CallResult::kConnectionBroken);
  REQUIRE(EventLoop::Now() - sent_at < kMaxDelay);
}

}  // namespace bilberrypitch
