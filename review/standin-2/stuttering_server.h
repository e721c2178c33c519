// A stand-in for a plain server whose answers come in chunks and that now and
// then sends the end of an answer a second time, late.
#pragma once

#include <atomic>
#include <cstdint>
#include <mutex>
#include <string>

#include "support.h"

namespace review {

class StutteringServer {
 public:
  StutteringServer(Record* record, std::string id);

  uint16_t port() const { return port_; }
  // Whether answers are spoilt from now on: at most one in `one_in`; 0: none.
  void SetTrouble(int one_in) { one_in_ = one_in; }
  int spoilt() const { return spoilt_; }
  // The body of the answer to the request.
  static std::string BodyFor(const std::string& request_id);

 private:
  void Handle(Connection connection);
  bool IsSpoiltNow();

  Record* const record_;
  const std::string id_;
  std::mutex mutex_;
  std::atomic<int> one_in_ = 0;
  int answers_since_ = 0;
  std::atomic<int> spoilt_ = 0;
  uint16_t port_ = 0;
};

}  // namespace review
