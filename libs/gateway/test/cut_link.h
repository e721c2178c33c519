// One instance's path to an upstream, which a test can cut: connections go
// through a relay on a port of its own.
#pragma once

#include <array>
#include <asio.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "gateway_fixture.h"

namespace bilberrypitch {

enum class LinkState : uint8_t {
  kOpen,
  kRefused,  // Open connections are reset, new ones are refused.
  kHanging,  // Nothing passes; new connections are not established.
  kNoNew,    // Open connections go on, new ones are refused.
};

class CutLink {
 public:
  explicit CutLink(const std::string& target)
      : target_(asio::ip::make_address("127.0.0.1"),
                static_cast<uint16_t>(
                    std::atoi(target.c_str() + target.find(':') + 1))),
        port_(FreePort()),
        acceptor_(context_),
        thread_([this] { context_.run(); }) {
    Set(LinkState::kOpen);
  }
  ~CutLink() {
    context_.stop();
    thread_.join();
  }

  std::string address() const { return LocalAddress(port_); }
  void Set(LinkState state) {
    asio::post(context_, [this, state] { Enter(state); });
  }

 private:
  using Socket = asio::ip::tcp::socket;

  struct Pair {
    explicit Pair(asio::io_context& context)
        : caller(context), upstream(context) {}
    Socket caller;
    Socket upstream;
    std::array<char, 16 << 10> request{};
    std::array<char, 16 << 10> response{};
  };

  void Enter(LinkState state) {
    state_ = state;
    asio::error_code ec;
    acceptor_.close(ec);
    fillers_.clear();
    if (state == LinkState::kRefused) {
      for (const auto& pair : std::exchange(pairs_, {})) {
        pair->caller.set_option(asio::socket_base::linger(true, 0), ec);
        pair->caller.close(ec);
        pair->upstream.close(ec);
      }
      return;
    }
    if (state == LinkState::kNoNew) {
      return;
    }
    acceptor_.open(asio::ip::tcp::v4());
    acceptor_.set_option(asio::socket_base::reuse_address(true));
    acceptor_.bind({asio::ip::make_address("127.0.0.1"), port_});
    if (state == LinkState::kHanging) {
      FillBacklog();
    } else {
      acceptor_.listen();
      Accept();
    }
  }

  // With a full queue of connections the system drops the first packet of
  // further ones.
  void FillBacklog() {
    acceptor_.listen(0);
    for (int i = 0; i < 4; ++i) {
      fillers_.push_back(std::make_unique<Socket>(context_));
      fillers_.back()->async_connect(acceptor_.local_endpoint(),
                                     [](asio::error_code) {});
    }
  }

  void Accept() {
    auto pair = std::make_shared<Pair>(context_);
    acceptor_.async_accept(pair->caller, [this, pair](asio::error_code ec) {
      if (ec) {
        return;
      }
      pair->upstream.connect(target_, ec);
      pairs_.insert(pair);
      Forward(pair, &pair->caller, &pair->upstream, &pair->request);
      Forward(pair, &pair->upstream, &pair->caller, &pair->response);
      Accept();
    });
  }

  void Forward(std::shared_ptr<Pair> pair, Socket* from, Socket* to,
               std::array<char, 16 << 10>* buf) {
    from->async_read_some(
        asio::buffer(*buf),
        [this, pair, from, to, buf](asio::error_code ec, size_t size) {
          if (state_ == LinkState::kHanging) {
            return;
          }
          if (!ec) {
            asio::write(*to, asio::buffer(*buf, size), ec);
          }
          if (ec) {
            pair->caller.close(ec);
            pair->upstream.close(ec);
            pairs_.erase(pair);
            return;
          }
          Forward(pair, from, to, buf);
        });
  }

  asio::io_context context_;
  const asio::executor_work_guard<asio::io_context::executor_type> work_ =
      asio::make_work_guard(context_);
  const asio::ip::tcp::endpoint target_;
  const uint16_t port_;
  // Only used on the thread.
  LinkState state_ = LinkState::kOpen;
  asio::ip::tcp::acceptor acceptor_;
  std::set<std::shared_ptr<Pair>> pairs_;
  std::vector<std::unique_ptr<Socket>> fillers_;
  std::thread thread_;
};

// An instance's view of the store in which upstreams have other addresses.
class ReaddressingStore : public ClusterStore {
 public:
  // `store` must outlive it.
  ReaddressingStore(ClusterStore* store,
                    std::map<std::string, std::string> addresses)
      : store_(store), addresses_(std::move(addresses)) {}

  void ReadPage(const std::string& prefix, const std::string& after_key,
                std::function<void(StorePage)> done) override {
    store_->ReadPage(prefix, after_key, [this, done](StorePage page) {
      Readdress(&page.items);
      done(std::move(page));
    });
  }
  void Watch(const std::string& prefix, StoreRevision revision, Millis timeout,
             std::function<void(StoreWatchResult)> done) override {
    store_->Watch(prefix, revision, timeout,
                  [this, done](StoreWatchResult result) {
                    Readdress(&result.events);
                    done(std::move(result));
                  });
  }
  void Commit(StoreTransaction transaction,
              std::function<void(StoreCommitResult)> done) override {
    store_->Commit(std::move(transaction), std::move(done));
  }
  void GrantLease(Millis time_to_live,
                  std::function<void(StoreLeaseResult)> done) override {
    store_->GrantLease(time_to_live, std::move(done));
  }
  void RenewLease(int64_t lease,
                  std::function<void(StoreLeaseResult)> done) override {
    store_->RenewLease(lease, std::move(done));
  }
  void RevokeLease(int64_t lease) override { store_->RevokeLease(lease); }

 private:
  void Readdress(std::vector<StoreItem>* items) const {
    for (StoreItem& item : *items) {
      for (const auto& [from, to] : addresses_) {
        size_t at = item.value.find("\"" + from + "\"");
        if (at != std::string::npos) {
          item.value.replace(at + 1, from.size(), to);
        }
      }
    }
  }

  ClusterStore* const store_;
  const std::map<std::string, std::string> addresses_;
};

}  // namespace bilberrypitch
