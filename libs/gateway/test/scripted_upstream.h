// An HTTP upstream that writes arbitrary bytes: a test decides what goes onto a
// connection, and when.
#pragma once

#include <asio.hpp>
#include <atomic>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "gateway_fixture.h"

namespace bilberrypitch {

// One connection of the gateway to a ScriptedUpstream.
struct ScriptedConnection {
  explicit ScriptedConnection(asio::io_context& context) : socket(context) {}

  void Write(const std::string& bytes) {
    asio::error_code ec;
    asio::write(socket, asio::buffer(bytes), ec);
  }

  asio::ip::tcp::socket socket;
  std::string received;  // Not consumed yet.
  int requests = 0;      // Including the current one.
  std::string last_response;
};

struct ScriptedRequest {
  std::string head;
  std::string body;
  std::string id;    // Of the request; empty if it names none.
  std::string path;  // With the query.
};

// Keeps each connection until the gateway closes it. The handler runs on the
// thread of the connection.
class ScriptedUpstream {
 public:
  using Handler =
      std::function<void(ScriptedConnection*, const ScriptedRequest&)>;

  explicit ScriptedUpstream(Handler handler)
      : handler_(std::move(handler)),
        acceptor_(context_, {asio::ip::make_address("127.0.0.1"), 0}),
        address_(LocalAddress(acceptor_.local_endpoint().port())),
        thread_([this] { Run(); }) {}

  ~ScriptedUpstream() {
    stopping_ = true;
    asio::io_context context;
    asio::ip::tcp::socket socket(context);
    asio::error_code ec;
    socket.connect(acceptor_.local_endpoint(), ec);
    thread_.join();
    {
      std::lock_guard lock(mutex_);
      for (const auto& connection : connections_) {
        connection->socket.shutdown(asio::socket_base::shutdown_both, ec);
      }
    }
    for (std::thread& thread : connection_threads_) {
      thread.join();
    }
  }

  const std::string& address() const { return address_; }
  size_t connections() {
    std::lock_guard lock(mutex_);
    return connections_.size();
  }

 private:
  void Run() {
    while (true) {
      auto connection = std::make_shared<ScriptedConnection>(context_);
      acceptor_.accept(connection->socket);
      if (stopping_) {
        return;
      }
      {
        std::lock_guard lock(mutex_);
        connections_.push_back(connection);
      }
      connection_threads_.emplace_back([this, connection] {
        ScriptedRequest request;
        while (Read(connection.get(), &request)) {
          ++connection->requests;
          handler_(connection.get(), request);
        }
      });
    }
  }

  static std::string Field(const std::string& head, const std::string& name) {
    size_t at = head.find("\r\n" + name + ": ");
    if (at == std::string::npos) {
      return "";
    }
    at += name.size() + 4;
    return head.substr(at, head.find("\r\n", at) - at);
  }

  static bool Read(ScriptedConnection* from, ScriptedRequest* request) {
    asio::error_code ec;
    auto buf = asio::dynamic_buffer(from->received);
    size_t head_size = asio::read_until(from->socket, buf, "\r\n\r\n", ec);
    if (ec) {
      return false;
    }
    request->head = from->received.substr(0, head_size);
    request->id = Field(request->head, "Request-Id");
    size_t path = request->head.find(' ') + 1;
    request->path =
        request->head.substr(path, request->head.find(' ', path) - path);
    size_t body_size = std::strtoul(
        Field(request->head, "Content-Length").c_str(), nullptr, 10);
    size_t end = head_size + body_size;
    if (from->received.size() < end) {
      asio::read(from->socket, buf,
                 asio::transfer_exactly(end - from->received.size()), ec);
    }
    request->body = from->received.substr(head_size, body_size);
    from->received.erase(0, end);
    return !ec;
  }

  const Handler handler_;
  asio::io_context context_;
  asio::ip::tcp::acceptor acceptor_;
  const std::string address_;
  std::atomic<bool> stopping_ = false;
  std::mutex mutex_;  // Guards `connections_`.
  std::vector<std::shared_ptr<ScriptedConnection>> connections_;
  std::vector<std::thread> connection_threads_;
  std::thread thread_;
};

// Counts the runs of requests by their ids. May be used on any thread.
class RunCounter {
 public:
  void Add(const std::string& id) {
    std::lock_guard lock(mutex_);
    ++runs_[id];
  }
  int Of(const std::string& id) {
    std::lock_guard lock(mutex_);
    return runs_[id];
  }

 private:
  std::mutex mutex_;
  std::map<std::string, int> runs_;
};

// A complete response with a length. `fields`: further lines of the head.
inline std::string ResponseText(const std::string& status,
                                const std::string& fields,
                                const std::string& body) {
  return "HTTP/1.1 " + status + "\r\n" + fields +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

}  // namespace bilberrypitch
