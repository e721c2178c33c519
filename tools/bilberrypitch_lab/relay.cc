// The relay. One thread runs all links.
#include "relay.h"

#include <array>

namespace bilberrypitch::lab {

using asio::ip::tcp;

// One connection through the relay.
class Relay::Link : public std::enable_shared_from_this<Relay::Link> {
 public:
  Link(Relay* relay, tcp::socket near)
      : relay_(relay), near_(std::move(near)), far_(relay->context_) {}

  void Start() {
    auto self = shared_from_this();
    far_.async_connect(relay_->target_, [self](std::error_code ec) {
      if (ec) {
        self->Close();
        return;
      }
      std::error_code ignored;
      self->near_.set_option(tcp::no_delay(true), ignored);
      self->far_.set_option(tcp::no_delay(true), ignored);
      self->Pump(&self->near_, &self->far_, &self->up_, false);
      self->Pump(&self->far_, &self->near_, &self->down_, true);
    });
  }

  void Silence() { silent_ = true; }

  void Close() {
    std::error_code ignored;
    near_.close(ignored);
    far_.close(ignored);
    relay_->links_.erase(shared_from_this());
  }

 private:
  using Buffer = std::array<char, 16384>;

  void Pump(tcp::socket* from, tcp::socket* to, Buffer* buf, bool is_answer) {
    auto self = shared_from_this();
    from->async_read_some(
        asio::buffer(*buf),
        [self, from, to, buf, is_answer](std::error_code ec, size_t n) {
          if (ec) {
            if (!self->Quiet()) self->Close();
            return;
          }
          if (self->Quiet()) {
            self->Pump(from, to, buf, is_answer);  // Read and swallowed.
            return;
          }
          if (is_answer && self->relay_->mode_ == RelayMode::kLoseAnswers) {
            self->Close();
            return;
          }
          asio::async_write(*to, asio::buffer(*buf, n),
                            [self, from, to, buf, is_answer](
                                std::error_code write_ec, size_t) {
                              if (write_ec) {
                                self->Close();
                                return;
                              }
                              self->Pump(from, to, buf, is_answer);
                            });
        });
  }

  bool Quiet() const { return silent_ || relay_->mode_ == RelayMode::kCut; }

  Relay* relay_;
  tcp::socket near_;
  tcp::socket far_;
  bool silent_ = false;
  Buffer up_;
  Buffer down_;
};

Relay::Relay(uint16_t port, std::string target_ip, uint16_t target_port,
             uint16_t control_port)
    : acceptor_(context_,
                tcp::endpoint(asio::ip::make_address("127.0.0.1"), port)),
      target_(asio::ip::make_address(target_ip), target_port) {
  Accept();
  thread_ = std::thread([this] { context_.run(); });
  control_ = std::make_unique<HttpServer>(
      LabServerOptions(control_port),
      [this](HttpRequest request, std::shared_ptr<Responder> responder) {
        Handle(std::move(request), std::move(responder));
      });
}

Relay::~Relay() {
  control_->Stop();
  context_.stop();
  thread_.join();
  links_.clear();
}

void Relay::Accept() {
  acceptor_.async_accept([this](std::error_code ec, tcp::socket socket) {
    if (!ec && mode_ != RelayMode::kRefuse) {
      auto link = std::make_shared<Link>(this, std::move(socket));
      links_.insert(link);
      link->Start();
    }
    Accept();
  });
}

void Relay::Handle(HttpRequest request, std::shared_ptr<Responder> responder) {
  std::string name = StringOr(ParseObject(request.body), "mode", "pass");
  asio::post(context_, [this, name, responder] {
    if (name == "silence_open") {
      for (const auto& it : links_) it->Silence();
      mode_ = RelayMode::kPass;
    } else if (name == "cut") {
      mode_ = RelayMode::kCut;
    } else if (name == "refuse") {
      mode_ = RelayMode::kRefuse;
      auto links = links_;
      for (const auto& it : links) it->Close();
    } else if (name == "lose_answers") {
      mode_ = RelayMode::kLoseAnswers;
    } else {
      mode_ = RelayMode::kPass;
    }
    responder->Send(JsonResponse(200, {{"mode", name}}));
  });
}

}  // namespace bilberrypitch::lab
