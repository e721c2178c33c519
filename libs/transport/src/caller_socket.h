// The socket of a caller's connection: what is read from it also goes to a
// RequestInspector.
#pragma once

#include <memory>
#include <restinio/all.hpp>
#include <string>
#include <string_view>
#include <utility>

#include "request_inspector.h"

namespace bilberrypitch {

// The target, a field's value and a body may have these sizes; a body beyond
// the configured limit is still read up to this, for a proper error response.
inline constexpr RequestSizeLimits kRequestSizeLimits{64 << 10, 64 << 20};

class CallerSocket : public restinio::asio_ns::ip::tcp::socket {
 public:
  using Socket = restinio::asio_ns::ip::tcp::socket;
  using Socket::Socket;

  // Begins to inspect what is read. RESTinio accepts connections into sockets
  // that it moves from, so this can't be done by a constructor.
  std::shared_ptr<RequestInspector> Inspect() {
    inspector_ = std::make_shared<RequestInspector>(kRequestSizeLimits);
    return inspector_;
  }

  // Hides the function of the base. RESTinio's handler keeps the connection,
  // and with it this socket.
  template <typename Handler>
  void async_read_some(const restinio::asio_ns::mutable_buffer& buf,
                       Handler&& handler) {
    auto executor =
        restinio::asio_ns::get_associated_executor(handler, get_executor());
    Socket::async_read_some(
        buf,
        restinio::asio_ns::bind_executor(executor, [this, buf,
                                                    handler =
                                                        std::forward<Handler>(
                                                            handler)](
                                                       const restinio::asio_ns::
                                                           error_code& ec,
                                                       size_t size) mutable {
          if (!ec && !MayGoOn({static_cast<const char*>(buf.data()), size})) {
            handler(restinio::asio_ns::error::connection_aborted, 0);
            return;
          }
          handler(ec, size);
        }));
  }

 private:
  // Returns false if the caller has been told that it can't be served.
  bool MayGoOn(std::string_view bytes) {
    if (inspector_ == nullptr) {
      return true;
    }
    const InspectorReply reply = inspector_->Feed(bytes);
    restinio::asio_ns::error_code ec;
    if (!reply.bytes.empty()) {
      restinio::asio_ns::write(static_cast<Socket&>(*this),
                               restinio::asio_ns::buffer(reply.bytes), ec);
    }
    return !reply.is_last;
  }

  std::shared_ptr<RequestInspector> inspector_;
};

// The inspector of the connection that RESTinio announces on this thread; null
// between such announcements, which don't name the socket.
inline std::shared_ptr<RequestInspector>& AnnouncedInspector() {
  thread_local std::shared_ptr<RequestInspector> inspector;
  return inspector;
}

// Called by RESTinio, which finds it by the type of the socket, for each new
// connection. `start` announces the connection and begins to read.
template <typename Connection, typename Start, typename Failed>
void prepare_connection_and_start_read(CallerSocket& socket,
                                       Connection& /*connection*/, Start start,
                                       Failed /*failed*/) {
  AnnouncedInspector() = socket.Inspect();
  start();
  AnnouncedInspector() = nullptr;
}

}  // namespace bilberrypitch
