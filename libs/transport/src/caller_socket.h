// The socket of a caller's connection: what is read from it first goes to a
// RequestInspector, which may end the connection.
#pragma once

#include <sys/socket.h>

#include <atomic>
#include <memory>
#include <restinio/all.hpp>
#include <string>
#include <string_view>
#include <utility>

#include "connection_account.h"
#include "lingering_close.h"
#include "request_inspector.h"

namespace bilberrypitch {

// The target, a field's value and a body may have these sizes on any server;
// the configured limit for bodies, which is less on most, is checked as well.
inline constexpr RequestSizeLimits kRequestSizeLimits{64 << 10, 64 << 20};

class CallerSocket : public restinio::asio_ns::ip::tcp::socket {
 public:
  using Socket = restinio::asio_ns::ip::tcp::socket;
  using ErrorCode = restinio::asio_ns::error_code;
  using Socket::Socket;
  CallerSocket(CallerSocket&&) = default;
  CallerSocket& operator=(CallerSocket&&) = default;
  ~CallerSocket() {
    if (account_ != nullptr) {
      account_->Close();
    }
  }

  // Begins to inspect what is read. RESTinio accepts connections into sockets
  // that it moves from, so this can't be done by a constructor.
  void Inspect() {
    inspector_ = std::make_shared<RequestInspector>(kRequestSizeLimits);
  }
  const std::shared_ptr<RequestInspector>& inspector() const {
    return inspector_;
  }

  // Puts the connection under the server's limits. `guard` may be null.
  void Join(const std::shared_ptr<ConnectionGuard>& guard,
            std::shared_ptr<const std::atomic<size_t>> max_body_bytes) {
    inspector_->SetMaxBodyBytes(std::move(max_body_bytes));
    if (guard != nullptr) {
      account_ = std::make_shared<ConnectionAccount>(
          guard, [this](EndCause cause) { End(cause); });
      inspector_->SetAccount(account_);
    }
  }

  // Hides the function of the base. RESTinio's handler keeps the connection,
  // and with it this socket.
  template <typename Handler>
  void async_read_some(const restinio::asio_ns::mutable_buffer& buf,
                       Handler&& handler) {
    auto executor =
        restinio::asio_ns::get_associated_executor(handler, get_executor());
    is_reading_ = true;
    Socket::async_read_some(
        buf,
        restinio::asio_ns::bind_executor(
            executor,
            [this, buf,
             kept = std::decay_t<Handler>(std::forward<Handler>(handler))](
                const ErrorCode& ec, size_t size) mutable {
              is_reading_ = false;
              switch (OnRead(ec, static_cast<const char*>(buf.data()), &size)) {
                case Next::kPass:
                  kept(ec, size);
                  break;
                case Next::kDrop:
                  async_read_some(buf, std::move(kept));
                  break;
                case Next::kEnd:
                  // Of the errors that close the connection.
                  kept(restinio::asio_ns::error::connection_aborted, 0);
                  break;
              }
            }));
  }

  // These hide functions of the base, which RESTinio calls to close the
  // connection.
  void shutdown(shutdown_type what, ErrorCode& ec) {
    if (!has_last_response_) {
      Socket::shutdown(what, ec);
    }
  }
  void close() {
    if (std::exchange(has_last_response_, false)) {
      CloseLingering(std::move(static_cast<Socket&>(*this)));
    } else {
      Socket::close();
    }
  }

 private:
  enum class Next : uint8_t { kPass, kDrop, kEnd };

  // Reduces `size` to the bytes that are to be passed on.
  Next OnRead(const ErrorCode& ec, const char* data, size_t* size) {
    if (is_ended_) {
      return Next::kEnd;
    }
    if (ec || inspector_ == nullptr) {
      return Next::kPass;
    }
    InspectorReply reply = inspector_->Feed({data, *size});
    if (!reply.bytes.empty() && SendNow(reply.bytes)) {
      has_last_response_ = reply.is_last;
    }
    if (reply.is_last) {
      is_ended_ = true;
      if (reply.cause && account_ != nullptr) {
        account_->OnEnded(*reply.cause);
      }
      return Next::kEnd;
    }
    if (account_ != nullptr) {
      is_in_read_ = true;
      account_->OnReceived(inspector_->WaitingCost());
      is_in_read_ = false;
    }
    if (is_ended_) {
      return Next::kEnd;
    }
    *size = reply.passed_bytes;
    return *size == 0 ? Next::kDrop : Next::kPass;
  }

  // Ends the connection for the sake of others, or of its own next bytes.
  // Responds if nothing else is being written.
  void End(EndCause cause) {
    is_ended_ = true;
    const std::string response = inspector_->ResponseFor(cause);
    has_last_response_ = !response.empty() && SendNow(response);
    ErrorCode ignored;
    if (is_reading_) {
      Socket::cancel(ignored);
    } else if (!is_in_read_) {
      // RESTinio closes the connection when it next reads or writes.
      Socket::shutdown(shutdown_both, ignored);
    }
  }

  // Does not wait for a caller that doesn't read. Returns whether all was sent.
  bool SendNow(const std::string& bytes) {
    return ::send(native_handle(), bytes.data(), bytes.size(),
                  MSG_DONTWAIT | MSG_NOSIGNAL) ==
           static_cast<ssize_t>(bytes.size());
  }

  std::shared_ptr<RequestInspector> inspector_;
  std::shared_ptr<ConnectionAccount> account_;  // Null without a guard.
  bool is_reading_ = false;
  bool is_in_read_ = false;  // What was read is being judged.
  bool is_ended_ = false;
  // The last response was sent here, beside the server's library.
  bool has_last_response_ = false;
};

// The socket of the connection that RESTinio announces on this thread; null
// between such announcements, which don't name the socket.
inline CallerSocket*& AnnouncedSocket() {
  thread_local CallerSocket* socket = nullptr;
  return socket;
}

// Called by RESTinio, which finds it by the type of the socket, for each new
// connection. `start` announces the connection and begins to read.
template <typename Connection, typename Start, typename Failed>
void prepare_connection_and_start_read(CallerSocket& socket,
                                       Connection& /*connection*/, Start start,
                                       Failed /*failed*/) {
  socket.Inspect();
  AnnouncedSocket() = &socket;
  start();
  AnnouncedSocket() = nullptr;
}

}  // namespace bilberrypitch
