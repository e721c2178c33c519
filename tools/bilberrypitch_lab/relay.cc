// Implements the relay. One thread serves all connections.
#include "relay.h"

#include <array>

namespace bilberrypitch::lab {

using asio::ip::tcp;

// A connection through the relay: the client's socket and the socket to the
// target.
class Relay::Connection
    : public std::enable_shared_from_this<Relay::Connection> {
 public:
  Connection(Relay* relay, tcp::socket client_socket)
      : relay_(relay),
        client_socket_(std::move(client_socket)),
        server_socket_(relay->io_context_) {}

  void Start() {
    auto self = shared_from_this();
    server_socket_.async_connect(relay_->target_, [self](std::error_code ec) {
      if (ec) {
        self->Close();
        return;
      }
      std::error_code ignored;
      self->client_socket_.set_option(tcp::no_delay(true), ignored);
      self->server_socket_.set_option(tcp::no_delay(true), ignored);
      self->Forward(&self->client_socket_, &self->server_socket_,
                    &self->request_buffer_, false);
      self->Forward(&self->server_socket_, &self->client_socket_,
                    &self->response_buffer_, true);
    });
  }

  void Stall() { stalled_ = true; }

  void Close() {
    std::error_code ignored;
    client_socket_.close(ignored);
    server_socket_.close(ignored);
    relay_->connections_.erase(shared_from_this());
  }

 private:
  using Buffer = std::array<char, 16384>;

  void Forward(tcp::socket* from, tcp::socket* to, Buffer* buffer,
               bool is_response) {
    auto self = shared_from_this();
    from->async_read_some(
        asio::buffer(*buffer),
        [self, from, to, buffer, is_response](std::error_code read_error,
                                              size_t byte_count) {
          if (read_error) {
            if (!self->IsStalled()) self->Close();
            return;
          }
          if (self->IsStalled()) {
            // Drops the data and keeps reading.
            self->Forward(from, to, buffer, is_response);
            return;
          }
          if (is_response && self->relay_->mode_ == RelayMode::kDropResponses) {
            self->Close();
            return;
          }
          asio::async_write(*to, asio::buffer(*buffer, byte_count),
                            [self, from, to, buffer, is_response](
                                std::error_code write_error, size_t) {
                              if (write_error) {
                                self->Close();
                                return;
                              }
                              self->Forward(from, to, buffer, is_response);
                            });
        });
  }

  bool IsStalled() const {
    return stalled_ || relay_->mode_ == RelayMode::kPartition;
  }

  Relay* relay_;
  tcp::socket client_socket_;
  tcp::socket server_socket_;
  bool stalled_ = false;
  Buffer request_buffer_;
  Buffer response_buffer_;
};

Relay::Relay(uint16_t port, std::string target_ip, uint16_t target_port,
             uint16_t control_port)
    : acceptor_(io_context_,
                tcp::endpoint(asio::ip::make_address("127.0.0.1"), port)),
      target_(asio::ip::make_address(target_ip), target_port) {
  Accept();
  thread_ = std::thread([this] { io_context_.run(); });
  control_server_ = std::make_unique<HttpServer>(
      LabServerOptions(control_port),
      [this](HttpRequest request, std::shared_ptr<Responder> responder) {
        HandleControl(std::move(request), std::move(responder));
      });
}

Relay::~Relay() {
  control_server_->Stop();
  io_context_.stop();
  thread_.join();
  connections_.clear();
}

void Relay::Accept() {
  acceptor_.async_accept([this](std::error_code ec, tcp::socket socket) {
    if (!ec && mode_ != RelayMode::kReject) {
      auto connection = std::make_shared<Connection>(this, std::move(socket));
      connections_.insert(connection);
      connection->Start();
    }
    Accept();
  });
}

void Relay::HandleControl(HttpRequest request,
                          std::shared_ptr<Responder> responder) {
  std::string mode_name =
      StringOr(ParseJsonObject(request.body), "mode", "pass");
  asio::post(io_context_, [this, mode_name, responder] {
    if (mode_name == "silence_open") {
      for (const auto& connection : connections_) connection->Stall();
      mode_ = RelayMode::kPass;
    } else if (mode_name == "cut") {
      mode_ = RelayMode::kPartition;
    } else if (mode_name == "refuse") {
      mode_ = RelayMode::kReject;
      auto open_connections = connections_;
      for (const auto& connection : open_connections) connection->Close();
    } else if (mode_name == "lose_answers") {
      mode_ = RelayMode::kDropResponses;
    } else {
      mode_ = RelayMode::kPass;
    }
    responder->Send(JsonResponse(200, {{"mode", mode_name}}));
  });
}

}  // namespace bilberrypitch::lab
