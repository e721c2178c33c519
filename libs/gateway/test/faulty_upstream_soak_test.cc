// A seeded run of requests to upstreams that fail in many ways: they repeat
// bytes of earlier responses, break off, reject, and send what is no response.
// What the callers get is compared with what the upstreams did. Every second
// caller reads raw bytes by strict rules, some of them with HTTP/1.0.
//
// Three seeds run by default; BILBERRYPITCH_SOAK_SEEDS sets another number.
#include <asio.hpp>
#include <catch2/catch.hpp>
#include <chrono>
#include <cstdlib>
#include <map>
#include <mutex>
#include <random>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "base/hash.h"
#include "raw_exchange.h"
#include "scripted_upstream.h"

namespace bilberrypitch {
namespace {

constexpr int kDefaultSeeds = 3;
constexpr int kRequests = 240;  // For each seed.
constexpr int kConcurrent = 4;
constexpr int kEvents = 5;  // Of a whole stream.
constexpr uint64_t kFaultyPercent = 40;
constexpr std::chrono::milliseconds kWork{2};

enum class Fault : uint8_t {
  kNone,
  kReject,
  kMisdirect,
  kRejectWithoutId,
  kRepeatRejection,      // Before the next answer on the connection.
  kRepeatAnswer,         // The same with an answer.
  kRepeatPart,           // Up to a random byte.
  kRepeatRejectionPart,  // A part of a rejection that was never sent.
  kLoseAnswer,
  kBreakOff,
  kFail,
  kGarbage,
  kEndless,
  kCount,
};

// What the upstreams did with a request.
struct RequestRecord {
  int arrivals = 0;
  int runs = 0;
  std::set<int> statuses;  // Of the signed answers that were begun.
};

class Records {
 public:
  // Returns how often the request has arrived.
  int OnArrival(const std::string& id) {
    std::lock_guard lock(mutex_);
    return ++records_[id].arrivals;
  }
  void OnRun(const std::string& id) {
    std::lock_guard lock(mutex_);
    ++records_[id].runs;
  }
  void OnAnswer(const std::string& id, int status) {
    std::lock_guard lock(mutex_);
    records_[id].statuses.insert(status);
  }
  RequestRecord Of(const std::string& id) {
    std::lock_guard lock(mutex_);
    return records_[id];
  }

 private:
  std::mutex mutex_;
  std::map<std::string, RequestRecord> records_;
};

bool IsStreamPath(const std::string& path) {
  return path.starts_with("/stream/") || path.starts_with("/resume/");
}

std::string EventText(const std::string& id, int number) {
  return fmt::format("id: {}\ndata: {} of {}\n\n", number, number, id);
}

std::string StreamText(const std::string& id) {
  std::string text;
  for (int i = 1; i <= kEvents; ++i) {
    text += EventText(id, i);
  }
  return text;
}

std::string PlainText(const std::string& id) { return "answer to " + id; }

std::string Fields(const std::string& id) {
  return "Request-Id: " + id + "\r\nAnswer-Stamp: stamp\r\n";
}

// A whole signed answer; streams go on after the event that the request names.
std::string AnswerText(const ScriptedRequest& request) {
  if (!IsStreamPath(request.path)) {
    return ResponseText("200 OK", Fields(request.id), PlainText(request.id));
  }
  constexpr std::string_view kLastEvent = "\r\nLast-Event-Id: ";
  size_t at = request.head.find(kLastEvent);
  int last = at == std::string::npos
                 ? 0
                 : std::atoi(request.head.c_str() + at + kLastEvent.size());
  std::string text = "HTTP/1.1 200 OK\r\n" + Fields(request.id) +
                     "Content-Type: text/event-stream\r\n"
                     "Transfer-Encoding: chunked\r\n\r\n";
  for (int i = last + 1; i <= kEvents; ++i) {
    std::string event = EventText(request.id, i);
    text += fmt::format("{:x}\r\n{}\r\n", event.size(), event);
  }
  return text + "0\r\n\r\n";
}

std::string RejectionText(const std::string& status,
                          const std::string& id_line) {
  return ResponseText(status, id_line + "Not-Run: 1\r\n", "not run");
}

// One of the upstreams. Its choices depend on the seed, the request and how
// often that has arrived.
class FaultyUpstream {
 public:
  FaultyUpstream(uint64_t seed, Records* records)
      : seed_(seed),
        records_(records),
        server_([this](ScriptedConnection* connection,
                       const ScriptedRequest& request) {
          Handle(connection, request);
        }) {}

  const std::string& address() const { return server_.address(); }

 private:
  void Handle(ScriptedConnection* connection, const ScriptedRequest& request) {
    const int arrival = records_->OnArrival(request.id);
    std::mt19937_64 random(seed_ ^
                           StableHash(request.id, std::to_string(arrival)));
    Fault fault = Fault::kNone;
    if (random() % 100 < kFaultyPercent) {
      fault = static_cast<Fault>(random() % static_cast<int>(Fault::kCount));
    }
    connection->Write(std::exchange(connection->last_response, ""));
    const std::string id_line = "Request-Id: " + request.id + "\r\n";
    switch (fault) {
      case Fault::kReject:
        connection->Write(RejectionText("503 Busy", id_line));
        return;
      case Fault::kMisdirect:
        connection->Write(RejectionText("421 Elsewhere", id_line));
        return;
      case Fault::kRepeatRejection:
        connection->last_response = RejectionText("503 Busy", id_line);
        connection->Write(connection->last_response);
        return;
      case Fault::kRejectWithoutId:
        connection->Write(RejectionText("503 Busy", ""));
        return;
      default:
        Run(connection, request, fault, &random);
    }
  }

  void Run(ScriptedConnection* connection, const ScriptedRequest& request,
           Fault fault, std::mt19937_64* random) {
    records_->OnRun(request.id);
    std::this_thread::sleep_for(kWork);
    std::string answer = AnswerText(request);
    const size_t cut = 1 + (*random)() % answer.size();
    asio::error_code ec;
    switch (fault) {
      case Fault::kLoseAnswer:
        connection->socket.close(ec);
        return;
      case Fault::kBreakOff:
        records_->OnAnswer(request.id, 200);
        connection->Write(answer.substr(0, std::min(cut, answer.size() - 1)));
        connection->socket.close(ec);
        return;
      case Fault::kGarbage:
        connection->Write("\x01garbage\r\n\r\n");
        connection->socket.close(ec);
        return;
      case Fault::kFail:
        records_->OnAnswer(request.id, 500);
        connection->Write(
            ResponseText("500 Failed", Fields(request.id), "failed"));
        return;
      case Fault::kEndless:
        WriteEndless(connection, request);
        return;
      case Fault::kRepeatAnswer:
        connection->last_response = answer;
        break;
      case Fault::kRepeatPart:
        connection->last_response = answer.substr(0, cut);
        break;
      case Fault::kRepeatRejectionPart:
        connection->last_response =
            RejectionText("503 Busy", "Request-Id: " + request.id + "\r\n")
                .substr(0, cut);
        break;
      default:
        break;
    }
    records_->OnAnswer(request.id, 200);
    connection->Write(answer);
  }

  void WriteEndless(ScriptedConnection* connection,
                    const ScriptedRequest& request) {
    records_->OnAnswer(request.id, 200);
    asio::error_code ec;
    std::string piece = "HTTP/1.1 200 OK\r\n" + Fields(request.id) +
                        "Transfer-Encoding: chunked\r\n\r\n";
    while (!ec) {
      asio::write(connection->socket, asio::buffer(piece), ec);
      piece = "1\r\n\n\r\n";
    }
    connection->socket.close(ec);
  }

  const uint64_t seed_;
  Records* const records_;
  ScriptedUpstream server_;
};

bool PromisesNotRun(int status) {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

struct SentRequest {
  std::string id;
  std::string path;
  std::optional<CallOutcome> outcome;
  std::unique_ptr<RawExchange> raw;  // Of a caller that reads raw bytes.

  bool ended() const { return raw ? raw->done() : outcome.has_value(); }
};

// Checks the bytes that such a caller has received and sets the outcome.
void ReadRaw(SentRequest* sent) {
  const StrictMessage response = sent->raw->response();
  CAPTURE(sent->id, sent->path, sent->raw->bytes());
  REQUIRE(response.fault.empty());
  REQUIRE(response.size == sent->raw->bytes().size());
  CallOutcome outcome;
  outcome.result =
      response.complete ? CallResult::kComplete : CallResult::kConnectionBroken;
  outcome.status = response.status();
  outcome.body = response.body;
  for (const auto& [name, value] : response.fields) {
    outcome.headers.Add(name, value);
  }
  sent->outcome = std::move(outcome);
}

void CheckStream(const SentRequest& sent) {
  const std::string whole = StreamText(sent.id);
  if (sent.outcome->result == CallResult::kComplete) {
    REQUIRE(sent.outcome->body == whole);
    return;
  }
  REQUIRE(whole.starts_with(sent.outcome->body));
}

void Check(const SentRequest& sent, Records* records) {
  const RequestRecord record = records->Of(sent.id);
  const CallOutcome& outcome = *sent.outcome;
  const bool may_repeat =
      sent.path.starts_with("/read/") || sent.path.starts_with("/resume/");
  CAPTURE(sent.id, sent.path, outcome.status, record.runs, outcome.body);
  REQUIRE((may_repeat || record.runs <= 1));
  if (PromisesNotRun(outcome.status)) {
    REQUIRE((may_repeat || record.runs == 0));
  }
  if (!outcome.headers.Get("Request-Id").empty()) {
    REQUIRE(outcome.headers.Get("Request-Id") == sent.id);
  }
  if (!outcome.headers.Get("Answer-Stamp").empty()) {
    REQUIRE(record.statuses.count(outcome.status) == 1);
  }
  if (outcome.status == 200 && IsStreamPath(sent.path)) {
    CheckStream(sent);
  } else if (outcome.status == 200) {
    REQUIRE(outcome.result == CallResult::kComplete);
    REQUIRE(outcome.body == PlainText(sent.id));
  }
}

int SeedCount() {
  const char* text = std::getenv("BILBERRYPITCH_SOAK_SEEDS");
  return text == nullptr ? kDefaultSeeds : std::atoi(text);
}

}  // namespace

// Guards against: bytes of one answer taken for another's, a run that is said
// not to have been one, a second run, a broken stream that looks whole.
TEST_CASE("callers get what the upstreams did, whatever else these send",
          "[soak]") {
  const std::vector<std::string> paths = {"/once/x", "/read/x", "/stream/x",
                                          "/resume/x"};
  int served = 0;
  for (int seed = 1; seed <= SeedCount(); ++seed) {
    CAPTURE(seed);
    Records records;
    FaultyUpstream first(static_cast<uint64_t>(seed), &records);
    FaultyUpstream second(static_cast<uint64_t>(seed), &records);
    Fixture fixture;
    fixture.PutUpstream("i-1", first.address(), "ready", 2);
    fixture.PutUpstream("i-2", second.address(), "ready", 2);
    fixture.WaitUntilReady();
    std::mt19937_64 random(static_cast<uint64_t>(seed));
    for (int i = 0; i < kRequests; i += kConcurrent) {
      std::vector<SentRequest> batch(kConcurrent);
      for (SentRequest& sent : batch) {
        sent.path = paths[random() % paths.size()];
        HttpCall call = fixture.CallTo(sent.path, "k1");
        sent.id = std::string(call.headers.Get("Request-Id"));
        const size_t number = i + (&sent - batch.data());
        if (number % 2 == 1) {
          const bool is_http_1_0 = number % 8 == 1;
          sent.raw = std::make_unique<RawExchange>(
              fixture.caller_address(),
              RawRequest("POST", sent.path, sent.id,
                         is_http_1_0 ? "HTTP/1.0" : "HTTP/1.1"),
              StrictCaller{"POST", is_http_1_0});
          continue;
        }
        call.body = "body of " + sent.id;
        call.on_done = [&sent](CallOutcome outcome) {
          sent.outcome = std::move(outcome);
        };
        fixture.control()->Start(std::move(call));
      }
      fixture.WaitUntil([&] {
        return std::all_of(batch.begin(), batch.end(),
                           [](const auto& sent) { return sent.ended(); });
      });
      for (SentRequest& sent : batch) {
        if (sent.raw) {
          ReadRaw(&sent);
        }
        Check(sent, &records);
        served += sent.outcome->status == 200 ? 1 : 0;
      }
    }
  }
  // The faults leave most requests to be served.
  REQUIRE(served * 2 > kRequests * SeedCount());
}

// Guards against: line ends of an upstream that sends nothing else are a part
// of a stream that is whole.
TEST_CASE("empty events of a stream that is resumed do not reach the caller",
          "[resume]") {
  std::atomic<int> requests = 0;
  ScriptedUpstream upstream(
      [&](ScriptedConnection* connection, const ScriptedRequest& request) {
        if (++requests > 1) {
          connection->Write(AnswerText(request));
          return;
        }
        asio::error_code ec;
        std::string piece = "HTTP/1.1 200 OK\r\n" + Fields(request.id) +
                            "Transfer-Encoding: chunked\r\n\r\n";
        while (!ec) {
          asio::write(connection->socket, asio::buffer(piece), ec);
          piece = "1\r\n\n\r\n";
        }
      });
  Fixture fixture;
  fixture.PutUpstream("i-1", upstream.address(), "ready", 2);
  fixture.WaitUntilReady();
  HttpCall call = fixture.CallTo("/resume/x", "k1");
  const std::string id(call.headers.Get("Request-Id"));
  CallOutcome outcome = fixture.Send(std::move(call));
  REQUIRE(outcome.result == CallResult::kComplete);
  REQUIRE(outcome.body == StreamText(id));
}

}  // namespace bilberrypitch
