// Implements the stand-ins for servers.
#include "servers.h"

#include <cstdlib>
#include <utility>

namespace review {
namespace {

constexpr int64_t kIdleMs = 30 * 1000;
constexpr double kMemoryTokens = 126653;
constexpr int kStreamEvents = 11;
constexpr int64_t kEventMs = 20;

std::string Head(const std::string& status, const std::string& request_id) {
  return "HTTP/1.1 " + status + "\r\nRequest-Id: " + request_id + "\r\n";
}

std::string WithBody(const std::string& head, const std::string& body) {
  return head + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         body;
}

std::string Rejection(const std::string& status,
                      const std::string& request_id) {
  return WithBody(Head(status, request_id) + "Not-Run: 1\r\n", "");
}

// Sum of the two numbers in Tokens.
double TokensOf(const Message& request) {
  const std::string tokens = request.Field("tokens");
  const size_t comma = tokens.find(',');
  return std::strtod(tokens.c_str(), nullptr) +
         (comma == std::string::npos
              ? 0
              : std::strtod(tokens.c_str() + comma + 1, nullptr));
}

bool IsForAnother(const Message& request, const std::string& id) {
  const std::string expected = request.Field("expect-instance");
  return !expected.empty() && expected != id;
}

}  // namespace

PlainServer::PlainServer(Record* record, std::string id, int64_t work_ms)
    : record_(record), id_(std::move(id)), work_ms_(work_ms) {
  port_ = Serve([this](Connection it) { Handle(std::move(it)); });
}

bool PlainServer::HasRun(const std::string& request_id) {
  std::lock_guard lock(mutex_);
  return runs_.count(request_id) > 0;
}

void PlainServer::Handle(Connection connection) {
  std::string rest;
  while (true) {
    Message request = ReadMessage(&connection, &rest, kIdleMs, true);
    if (!request.complete) {
      return;
    }
    const std::string request_id = request.Field("request-id");
    if (IsForAnother(request, id_)) {
      connection.Send(Rejection("421 Misdirected Request", request_id));
      continue;
    }
    {
      std::lock_guard lock(mutex_);
      runs_.insert(request_id);
    }
    record_->Add("server " + id_ + " runs request " + request_id);
    SleepMs(work_ms_);
    const std::string head =
        Head("200 OK", request_id) + "Answer-Stamp: " + id_ + ".1\r\n";
    if (!connection.Send(WithBody(head, "booked"))) {
      return;
    }
  }
}

ModelServer::ModelServer(Record* record, std::string id, int64_t wait_ms)
    : record_(record), id_(std::move(id)), wait_ms_(wait_ms) {
  port_ = Serve([this](Connection it) { Handle(std::move(it)); });
}

void ModelServer::Handle(Connection connection) {
  std::string rest;
  while (true) {
    Message request = ReadMessage(&connection, &rest, kIdleMs, true);
    if (!request.complete) {
      return;
    }
    const std::string request_id = request.Field("request-id");
    if (IsForAnother(request, id_)) {
      connection.Send(Rejection("421 Misdirected Request", request_id));
    } else if (request.start.starts_with("GET /report")) {
      connection.Send(WithBody(
          Head("200 OK", request_id),
          R"({"phase":"mixed","models":[{"name":"base","version":1,)"
          R"("adapters":[]}],"busy":false,"seq":0,"queued":0,"active":0})"));
    } else if (TokensOf(request) > kMemoryTokens) {
      SleepMs(wait_ms_);
      record_->Add("server " + id_ + " rejects request " + request_id +
                   ", which is larger than its memory: 503, Not-Run");
      connection.Send(Rejection("503 Service Unavailable", request_id));
    } else if (endless_bytes_per_s_ > 0) {
      SendEndless(&connection, request_id);
      return;
    } else {
      SleepMs(wait_ms_);
      record_->Add("server " + id_ + " runs request " + request_id);
      AnswerStream(&connection, request_id);
    }
  }
}

void ModelServer::AnswerStream(Connection* connection,
                               const std::string& request_id) {
  connection->Send(Head("200 OK", request_id) + "Answer-Stamp: " + id_ +
                   ".1\r\nContent-Type: text/event-stream\r\n"
                   "Transfer-Encoding: chunked\r\n\r\n");
  for (int i = 1; i <= kStreamEvents; ++i) {
    SleepMs(kEventMs);
    const std::string event = "id: " + std::to_string(i) + "\ndata: word\n\n";
    char size[16];
    std::snprintf(size, sizeof(size), "%zx\r\n", event.size());
    connection->Send(size + event + "\r\n");
  }
  connection->Send("0\r\n\r\n");
}

void ModelServer::SendEndless(Connection* connection,
                              const std::string& request_id) {
  constexpr int64_t kPauseMs = 20;
  constexpr int64_t kMsPerS = 1000;
  record_->Add("server " + id_ + " answers request " + request_id +
               " with bytes without end");
  const std::string bytes(
      static_cast<size_t>(endless_bytes_per_s_ * kPauseMs / kMsPerS), '#');
  bool is_open = connection->Send("HTTP/1.1 500 Internal Server Error\r\n\r\n");
  while (is_open) {
    is_open = connection->Send(bytes);
    SleepMs(kPauseMs);
  }
}

}  // namespace review
