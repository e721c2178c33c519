// Implements the server that repeats the end of an answer.
#include "stuttering_server.h"

#include <utility>

namespace review {
namespace {

constexpr int64_t kIdleMs = 30 * 1000;
constexpr int64_t kWorkMs = 10;
constexpr int64_t kPauseMs = 3;  // Between the pieces of an answer.

std::string Chunk(const std::string& text) {
  char size[16];
  std::snprintf(size, sizeof(size), "%zx\r\n", text.size());
  return size + text + "\r\n";
}

}  // namespace

StutteringServer::StutteringServer(Record* record, std::string id)
    : record_(record), id_(std::move(id)) {
  port_ = Serve([this](Connection it) { Handle(std::move(it)); });
}

std::string StutteringServer::BodyFor(const std::string& request_id) {
  return "booked as " + request_id;
}

bool StutteringServer::IsSpoiltNow() {
  std::lock_guard lock(mutex_);
  const bool is_spoilt = one_in_ > 0 && ++answers_since_ >= one_in_;
  answers_since_ = is_spoilt ? 0 : answers_since_;
  spoilt_ += is_spoilt ? 1 : 0;
  return is_spoilt;
}

void StutteringServer::Handle(Connection connection) {
  std::string rest;
  std::string last_id;
  while (true) {
    Message request = ReadMessage(&connection, &rest, kIdleMs, true);
    if (!request.complete) {
      return;
    }
    const std::string request_id = request.Field("request-id");
    const std::string head = "HTTP/1.1 200 OK\r\nRequest-Id: " + request_id +
                             "\r\nAnswer-Stamp: " + id_ +
                             ".1\r\nTransfer-Encoding: chunked\r\n\r\n";
    SleepMs(kWorkMs);
    connection.Send(head);
    if (!last_id.empty() && IsSpoiltNow()) {
      // The rest of the second copy of the answer before.
      std::string line = "server " + id_;
      line += " sends the end of its answer to " + last_id;
      line += " again, within its answer to " + request_id;
      record_->Add(line);
      SleepMs(kPauseMs);
      connection.Send(Chunk(BodyFor(last_id)));
      SleepMs(kPauseMs);
    }
    if (!connection.Send(Chunk(BodyFor(request_id)) + "0\r\n\r\n")) {
      return;
    }
    last_id = request_id;
  }
}

}  // namespace review
