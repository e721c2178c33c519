// A TCP relay that stands between two processes and brings about the failures
// of a network: cuts, silent connections, lost answers.
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
  kPass,
  kCut,          // Nothing passes; new connections are taken and stay silent.
  kRefuse,       // New connections are closed at once, open ones too.
  kSilenceOpen,  // Connections open at that moment go silent; new ones pass.
  kLoseAnswers,  // Requests pass; at the first byte of an answer both ends
                 // are closed.
};

// POST /lab/faults {"mode": NAME} on the control port switches.
class Relay {
 public:
  Relay(uint16_t port, std::string target_ip, uint16_t target_port,
        uint16_t control_port);
  ~Relay();

 private:
  class Link;

  void Accept();
  void Handle(HttpRequest request, std::shared_ptr<Responder> responder);

  asio::io_context context_;
  asio::ip::tcp::acceptor acceptor_;
  asio::ip::tcp::endpoint target_;
  std::atomic<RelayMode> mode_ = RelayMode::kPass;
  std::set<std::shared_ptr<Link>> links_;  // Used by the relay's thread only.
  std::thread thread_;
  std::unique_ptr<HttpServer> control_;
};

}  // namespace bilberrypitch::lab
