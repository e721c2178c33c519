// Stand-ins for the servers behind the system. Each listens on a loopback port
// and handles one request at a time on a connection.
#pragma once

#include <atomic>
#include <cstdint>
#include <mutex>
#include <set>
#include <string>

#include "support.h"

namespace review {

// A sound server of a plain service: runs each request for some time and
// answers it with 200.
class PlainServer {
 public:
  PlainServer(Record* record, std::string id, int64_t work_ms);

  uint16_t port() const { return port_; }
  // Whether it began to run the request.
  bool HasRun(const std::string& request_id);

 private:
  void Handle(Connection connection);

  Record* const record_;
  const std::string id_;
  const int64_t work_ms_;
  std::mutex mutex_;
  std::set<std::string> runs_;
  uint16_t port_ = 0;
};

// A model server. A request whose tokens exceed its memory is rejected as if it
// were full. Others get a short stream.
class ModelServer {
 public:
  // `wait_ms`: how long a request waits for its turn or its rejection.
  ModelServer(Record* record, std::string id, int64_t wait_ms = 0);

  uint16_t port() const { return port_; }
  // From now on requests get the head of a failure and then bytes without end.
  void BeginTrouble(int64_t bytes_per_s) { endless_bytes_per_s_ = bytes_per_s; }

 private:
  void Handle(Connection connection);
  void AnswerStream(Connection* connection, const std::string& request_id);
  void SendEndless(Connection* connection, const std::string& request_id);

  Record* const record_;
  const std::string id_;
  const int64_t wait_ms_;
  std::atomic<int64_t> endless_bytes_per_s_ = 0;
  uint16_t port_ = 0;
};

}  // namespace review
