// Implements the probe with Asio.
#include "transport/tcp_probe.h"

#include <asio.hpp>
#include <memory>
#include <optional>
#include <utility>

#include "transport/address.h"
#include "transport/event_loop.h"
#include "transport/timer.h"

namespace bilberrypitch {
namespace {

struct Probe {
  explicit Probe(EventLoop* loop) : socket(loop->context()), timer(loop) {}

  void End(bool reached) {
    timer.Cancel();
    asio::error_code ec;
    socket.close(ec);
    if (done) {
      std::exchange(done, nullptr)(reached);
    }
  }

  asio::ip::tcp::socket socket;
  Timer timer;
  std::function<void(bool)> done;
};

}  // namespace

void ProbeTcp(EventLoop* loop, const std::string& address, Millis timeout,
              std::function<void(bool)> done) {
  std::optional<Address> parsed = ParseAddress(address);
  if (!parsed) {
    loop->Post([done = std::move(done)] { done(false); });
    return;
  }
  auto probe = std::make_shared<Probe>(loop);
  probe->done = std::move(done);
  probe->timer.Start(timeout, [probe] { probe->End(false); });
  probe->socket.async_connect(
      {asio::ip::make_address(parsed->ip), parsed->port},
      [probe](const asio::error_code& ec) { probe->End(!ec); });
}

}  // namespace bilberrypitch
