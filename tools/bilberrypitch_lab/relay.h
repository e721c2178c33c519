// A TCP relay between two processes that injects network faults: partitions,
// stalled connections and lost responses.
#pragma once

#include <asio.hpp>
#include <atomic>
#include <cstdint>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>

#include "lab_server.h"

namespace bilberrypitch::lab {

enum class RelayMode : uint8_t {
  kPass,           // Forwards everything.
  kPartition,      // Forwards nothing; new connections are accepted and stall.
  kReject,         // Closes open connections, and new ones at once.
  kStallOpen,      // Stalls the connections that are open now; new ones pass.
  kDropResponses,  // Forwards requests; at the first byte of a response both
                   // ends are closed.
};

// Forwards connections from `port` to the target. POST /lab/faults
// {"mode": NAME} on the control port sets the mode; the names are "pass",
// "cut", "refuse", "silence_open" and "lose_answers", in the order of
// RelayMode.
class Relay {
 public:
  Relay(uint16_t port, std::string target_ip, uint16_t target_port,
        uint16_t control_port);
  ~Relay();

 private:
  class Connection;

  void Accept();
  void HandleControl(HttpRequest request, std::shared_ptr<Responder> responder);

  asio::io_context io_context_;
  asio::ip::tcp::acceptor acceptor_;
  asio::ip::tcp::endpoint target_;
  std::atomic<RelayMode> mode_ = RelayMode::kPass;
  // Only used on `thread_`.
  std::set<std::shared_ptr<Connection>> connections_;
  std::thread thread_;
  std::unique_ptr<HttpServer> control_server_;
};

}  // namespace bilberrypitch::lab
