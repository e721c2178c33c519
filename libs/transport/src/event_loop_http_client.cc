// Implements EventLoopHttpClient with libcurl's multi interface: starts, ends
// and cancels calls, each of which is an HttpTransfer.
//
// A transfer that ends early is removed from the multi handle unfinished, which
// makes libcurl close its connection, so a late response can't reach another
// call. The connection is reset, so that its request can't arrive late either.
#include "transport/event_loop_http_client.h"

#include <curl/curl.h>

#include <mutex>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

#include "base/check.h"
#include "base/log.h"
#include "curl_socket_poller.h"
#include "http_transfer.h"
#include "transport/event_loop.h"
#include "transport/response_budget.h"
#include "transport/timer.h"

namespace bilberrypitch {
namespace {

std::once_flag curl_init_flag;

// Between two log lines about calls that were ended for their memory.
constexpr Millis kLogInterval{10 * 1000};

}  // namespace

class EventLoopHttpClient::Impl {
 public:
  explicit Impl(EventLoop* loop) : loop_(loop), budget_timer_(loop) {
    std::call_once(curl_init_flag, [] { curl_global_init(CURL_GLOBAL_ALL); });
    multi_ = curl_multi_init();
    BP_CHECK(multi_ != nullptr, "curl_multi_init failed");
    curl_multi_setopt(multi_, CURLMOPT_MAXCONNECTS,
                      static_cast<long>(kMaxPooledConnections));
    poller_ = std::make_unique<CurlSocketPoller>(loop, multi_, PollerHooks());
  }

  ~Impl() {
    for (auto& [id, transfer] : transfers_) {
      transfer->call().on_done = nullptr;
    }
    CancelAll();
    curl_multi_cleanup(multi_);
  }

  void CancelAll() {
    while (!transfers_.empty()) {
      Finish(transfers_.begin()->second.get(), CallResult::kCancelled);
    }
  }

  CallId NextId() { return ++last_id_; }
  uint64_t connections_opened() const { return connections_opened_; }
  void SetOnUnsolicitedBytes(UnsolicitedBytesHook hook) {
    on_unsolicited_bytes_ = std::move(hook);
  }

  void Start(CallId id, HttpCall call) {
    if (inside_libcurl_) {
      // libcurl does not allow adding transfers within its callbacks.
      auto shared_call = std::make_shared<HttpCall>(std::move(call));
      loop_->Post(
          [this, id, shared_call] { Start(id, std::move(*shared_call)); });
      return;
    }
    auto transfer = std::make_unique<HttpTransfer>(loop_, poller_.get(), id,
                                                   std::move(call));
    HttpTransfer* added = transfer.get();
    if (budget_) {
      added->SetOnHeldBytes(
          [this, added](size_t bytes) { return OnHeldBytes(*added, bytes); });
    }
    transfers_[id] = std::move(transfer);
    curl_multi_add_handle(multi_, added->easy());
    StartTimeoutTimer(added);
  }

  void Cancel(CallId id) {
    if (inside_libcurl_) {
      loop_->Post([this, id] { Cancel(id); });
      return;
    }
    auto it = transfers_.find(id);
    if (it != transfers_.end()) {
      Finish(it->second.get(), CallResult::kCancelled);
    }
  }

  // What earlier calls hold stays counted.
  void SetResponseBudget(size_t max_bytes) {
    if (budget_) {
      budget_->SetMaxBytes(max_bytes);
    } else {
      budget_.emplace(max_bytes);
    }
  }

  void SetBytesKept(CallId id, size_t bytes) {
    auto it = transfers_.find(id);
    if (it != transfers_.end()) {
      it->second->SetBytesKeptElsewhere(bytes);
    }
  }

  size_t response_bytes_held() const {
    return budget_ ? budget_->bytes_held() : 0;
  }
  uint64_t calls_ended_for_memory() const { return calls_ended_for_memory_; }

  void Pause(CallId id) {
    auto it = transfers_.find(id);
    if (it != transfers_.end()) {
      it->second->Pause();
    }
  }

  void Resume(CallId id) {
    auto it = transfers_.find(id);
    if (it == transfers_.end() || !it->second->paused()) {
      return;
    }
    BP_CHECK(!inside_libcurl_, "a call was resumed within a callback");
    HttpTransfer* transfer = it->second.get();
    inside_libcurl_ = true;
    CURLcode code = transfer->Unpause();
    inside_libcurl_ = false;
    if (code != CURLE_OK) {
      Finish(transfer, transfer->Classify(code));
      return;
    }
    StartTimeoutTimer(transfer);
    FinishCompletedTransfers();
  }

 private:
  CurlSocketPoller::Hooks PollerHooks() {
    CurlSocketPoller::Hooks hooks;
    hooks.on_action = [this](curl_socket_t socket, int events) {
      RunSocketAction(socket, events);
    };
    hooks.on_used = [](CURL* easy, const CurlSocketPtr& socket) {
      if (HttpTransfer* transfer = HttpTransfer::Of(easy)) {
        transfer->OnSocketUsed(socket);
      }
    };
    hooks.on_released = [](CURL* easy, const CurlSocketPtr& socket) {
      if (HttpTransfer* transfer = HttpTransfer::Of(easy)) {
        transfer->OnSocketReleased(socket);
      }
    };
    hooks.on_unsolicited_bytes = [this](const std::string& address) {
      if (on_unsolicited_bytes_) {
        on_unsolicited_bytes_(address);
      }
    };
    return hooks;
  }

  void StartTimeoutTimer(HttpTransfer* transfer) {
    transfer->StartTimeoutTimer(
        [this, transfer](CallResult result) { Finish(transfer, result); });
  }

  // Returns false if the transfer has to be paused until others have ended,
  // which libcurl does not allow within its callbacks. It would otherwise read
  // on as long as bytes come.
  bool OnHeldBytes(HttpTransfer& transfer, size_t bytes) {
    budget_->Set(transfer.id(), transfer.call().address, bytes);
    if (!budget_->exceeded()) {
      return true;
    }
    paused_for_memory_.push_back(transfer.id());
    if (!budget_timer_.pending()) {
      budget_timer_.Start(Millis(0), [this] { EndForMemory(); });
    }
    return false;
  }

  void EndForMemory() {
    const size_t held_bytes = budget_->bytes_held();
    while (std::optional<CallId> id = budget_->NextEnding()) {
      HttpTransfer* transfer = transfers_.at(*id).get();
      LogEndForMemory(transfer->call().address, held_bytes);
      Finish(transfer, CallResult::kResponseTooLarge);
    }
    for (CallId id : std::exchange(paused_for_memory_, {})) {
      Resume(id);
    }
  }

  // Many such calls cost one line, and the next one tells how many there were.
  void LogEndForMemory(const std::string& address, size_t held_bytes) {
    ++calls_ended_for_memory_;
    const Millis now = EventLoop::Now();
    if (calls_logged_ > 0 && now - logged_at_ < kLogInterval) {
      return;
    }
    LogWarning("upstream",
               "Ended calls for the memory of their responses count={} "
               "address={} held_bytes={}.",
               calls_ended_for_memory_ - calls_logged_, address, held_bytes);
    calls_logged_ = calls_ended_for_memory_;
    logged_at_ = now;
  }

  // Lets libcurl process the events of a socket or an expired timer.
  void RunSocketAction(curl_socket_t socket, int events) {
    int running_transfers = 0;
    inside_libcurl_ = true;
    curl_multi_socket_action(multi_, socket, events, &running_transfers);
    inside_libcurl_ = false;
    FinishCompletedTransfers();
  }

  void FinishCompletedTransfers() {
    int messages_left = 0;
    while (CURLMsg* message = curl_multi_info_read(multi_, &messages_left)) {
      if (message->msg != CURLMSG_DONE) {
        continue;
      }
      HttpTransfer* transfer = HttpTransfer::Of(message->easy_handle);
      Finish(transfer, transfer->Classify(message->data.result));
    }
  }

  // Removes the transfer, calls `on_done` and destroys the transfer.
  void Finish(HttpTransfer* transfer, CallResult result) {
    if (result == CallResult::kComplete) {
      transfer->ExamineConnection();
    }
    uint64_t new_connections = transfer->new_connections();
    connections_opened_ += new_connections;
    // Nobody waits for a call that was given up; its request must not arrive
    // once the path is back.
    poller_->SetResetsOnClose(result != CallResult::kComplete);
    curl_multi_remove_handle(multi_, transfer->easy());
    poller_->SetResetsOnClose(false);
    transfer->CloseHandle();
    // Destroys the transfer at the end of this function.
    auto extracted = transfers_.extract(transfer->id());
    if (budget_) {
      budget_->Remove(transfer->id());
    }
    CallOutcome& outcome = transfer->outcome();
    outcome.result = result;
    outcome.reused_connection = new_connections == 0;
    if (transfer->call().on_done) {
      transfer->call().on_done(std::move(outcome));
    }
  }

  EventLoop* const loop_;
  CURLM* multi_ = nullptr;
  std::unique_ptr<CurlSocketPoller> poller_;  // Used while `multi_` is.
  // True while libcurl may call back.
  bool inside_libcurl_ = false;
  CallId last_id_ = 0;
  uint64_t connections_opened_ = 0;
  UnsolicitedBytesHook on_unsolicited_bytes_;  // May be empty.
  std::optional<ResponseBudget> budget_;       // Empty: there is no bound.
  Timer budget_timer_;                         // Ends calls beyond the budget.
  std::vector<CallId> paused_for_memory_;      // Until `budget_timer_` fires.
  uint64_t calls_ended_for_memory_ = 0;
  uint64_t calls_logged_ = 0;  // Of these.
  Millis logged_at_;
  std::unordered_map<CallId, std::unique_ptr<HttpTransfer>> transfers_;
};

EventLoopHttpClient::EventLoopHttpClient(EventLoop* loop)
    : impl_(std::make_unique<Impl>(loop)) {}

EventLoopHttpClient::~EventLoopHttpClient() = default;

void EventLoopHttpClient::Start(CallId id, HttpCall call) {
  impl_->Start(id, std::move(call));
}

CallId EventLoopHttpClient::Start(HttpCall call) {
  CallId id = impl_->NextId();
  impl_->Start(id, std::move(call));
  return id;
}

void EventLoopHttpClient::Cancel(CallId id) { impl_->Cancel(id); }

void EventLoopHttpClient::Pause(CallId id) { impl_->Pause(id); }

void EventLoopHttpClient::Resume(CallId id) { impl_->Resume(id); }

void EventLoopHttpClient::CancelAll() { impl_->CancelAll(); }

void EventLoopHttpClient::SetOnUnsolicitedBytes(UnsolicitedBytesHook hook) {
  impl_->SetOnUnsolicitedBytes(std::move(hook));
}

void EventLoopHttpClient::SetResponseBudget(size_t max_bytes) {
  impl_->SetResponseBudget(max_bytes);
}

void EventLoopHttpClient::SetBytesKept(CallId id, size_t bytes) {
  impl_->SetBytesKept(id, bytes);
}

size_t EventLoopHttpClient::response_bytes_held() const {
  return impl_->response_bytes_held();
}

uint64_t EventLoopHttpClient::calls_ended_for_memory() const {
  return impl_->calls_ended_for_memory();
}

uint64_t EventLoopHttpClient::connections_opened() const {
  return impl_->connections_opened();
}

}  // namespace bilberrypitch
