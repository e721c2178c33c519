// A stand-in for the platform's lagging list of instances.
#pragma once

#include <cstdint>
#include <deque>
#include <memory>
#include <mutex>
#include <string>

#include "lab_server.h"

namespace bilberrypitch::lab {

// GET /instances answers what stood `lag_ms` ago. PUT /lab/instances replaces
// the list; POST /lab/faults sets `out`.
class PlatformList {
 public:
  PlatformList(uint16_t port, int64_t lag_ms);
  ~PlatformList();

 private:
  struct Version {
    int64_t since_ms = 0;
    std::string body;
  };

  void Handle(HttpRequest request, std::shared_ptr<Responder> responder);

  const int64_t lag_ms_;
  std::mutex lock_;               // Guards all below.
  std::deque<Version> versions_;  // Oldest first; never empty.
  bool out_ = false;
  std::unique_ptr<HttpServer> server_;
};

}  // namespace bilberrypitch::lab
