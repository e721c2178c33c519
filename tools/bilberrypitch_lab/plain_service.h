// A stand-in for a plain service, such as payments: each call runs once for
// each time that it arrives, and GET /lab/facts tells how often.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>

#include "lab_server.h"

namespace bilberrypitch::lab {

class PlainService {
 public:
  PlainService(std::string name, uint16_t port);
  ~PlainService();

 private:
  void Handle(HttpRequest request, std::shared_ptr<Responder> responder);

  const std::string name_;
  std::mutex lock_;                      // Guards all below.
  std::map<std::string, int64_t> runs_;  // By method, path and body.
  int64_t credentials_seen_ = 0;
  int64_t status_ = 200;
  std::unique_ptr<HttpServer> server_;
};

}  // namespace bilberrypitch::lab
