// Implements EventLoopHttpClient with libcurl's multi interface.
//
// Each transfer has its own timer for the first-byte, idle and total timeouts.
// A transfer that ends early is removed from the multi handle unfinished, which
// makes libcurl close its connection, so a late response can't reach another
// call.
#include "transport/event_loop_http_client.h"

#include <curl/curl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <mutex>
#include <unordered_map>

#include "base/check.h"
#include "curl_socket_poller.h"
#include "transport/event_loop.h"
#include "transport/response_head.h"
#include "transport/timer.h"

namespace bilberrypitch {
namespace {

constexpr size_t kMaxPooledConnections = 512;
// The system closes a connection whose sent data remains unacknowledged for
// this time.
constexpr int kTcpUserTimeoutMs = 3000;
// Idle time before the first TCP keep-alive probe, and the time between probes.
constexpr long kKeepAliveSeconds = 2;

std::once_flag curl_init_flag;

int SetSocketOptions(void* /*user*/, curl_socket_t socket, curlsocktype) {
  int timeout_ms = kTcpUserTimeoutMs;
  setsockopt(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout_ms,
             sizeof(timeout_ms));
  return CURL_SOCKOPT_OK;
}

}  // namespace

class EventLoopHttpClient::Impl {
 public:
  explicit Impl(EventLoop* loop) : loop_(loop) {
    std::call_once(curl_init_flag, [] { curl_global_init(CURL_GLOBAL_ALL); });
    multi_ = curl_multi_init();
    BP_CHECK(multi_ != nullptr, "curl_multi_init failed");
    curl_multi_setopt(multi_, CURLMOPT_MAXCONNECTS,
                      static_cast<long>(kMaxPooledConnections));
    CurlSocketPoller::Hooks hooks;
    hooks.on_action = [this](curl_socket_t socket, int events) {
      RunSocketAction(socket, events);
    };
    hooks.on_used = [](CURL* easy, const CurlSocketPtr& socket) {
      if (Transfer* transfer = TransferOf(easy)) {
        transfer->socket = socket;
        transfer->looked_behind = false;
        transfer->outcome.trailing = TrailingBytes::kNone;
      }
    };
    hooks.on_released = [](CURL* easy, const CurlSocketPtr& socket) {
      Transfer* transfer = TransferOf(easy);
      // libcurl also waits no longer for the socket of a paused transfer.
      if (transfer != nullptr && !transfer->paused) {
        LookBehindResponse(transfer, socket);
      }
    };
    hooks.on_unsolicited_bytes = [this](const std::string& address) {
      if (on_unsolicited_bytes_) {
        on_unsolicited_bytes_(address);
      }
    };
    poller_ =
        std::make_unique<CurlSocketPoller>(loop, multi_, std::move(hooks));
  }

  ~Impl() {
    for (auto& [id, transfer] : transfers_) {
      transfer->call.on_done = nullptr;
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
    auto transfer = std::make_unique<Transfer>(loop_);
    transfer->id = id;
    transfer->owner = this;
    transfer->call = std::move(call);
    transfer->easy = curl_easy_init();
    BP_CHECK(transfer->easy != nullptr, "curl_easy_init failed");
    transfer->started = EventLoop::Now();
    transfer->last_progress = transfer->started;
    SetOptions(transfer.get());
    Transfer* added = transfer.get();
    transfers_[id] = std::move(transfer);
    curl_multi_add_handle(multi_, added->easy);
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

  void Pause(CallId id) {
    auto it = transfers_.find(id);
    if (it != transfers_.end()) {
      it->second->paused = true;
    }
  }

  void Resume(CallId id) {
    auto it = transfers_.find(id);
    if (it == transfers_.end() || !it->second->paused) {
      return;
    }
    // libcurl passes on what it has kept from within the call below.
    BP_CHECK(!inside_libcurl_, "a call was resumed within a callback");
    Transfer* transfer = it->second.get();
    transfer->paused = false;
    transfer->last_progress = EventLoop::Now();
    inside_libcurl_ = true;
    CURLcode code = curl_easy_pause(transfer->easy, CURLPAUSE_CONT);
    inside_libcurl_ = false;
    if (code != CURLE_OK) {
      Finish(transfer, Classify(*transfer, code));
      return;
    }
    StartTimeoutTimer(transfer);
    FinishCompletedTransfers();
  }

 private:
  // A call in progress.
  struct Transfer {
    explicit Transfer(EventLoop* loop) : timer(loop) {}
    CallId id = 0;
    Impl* owner = nullptr;
    HttpCall call;
    size_t body_bytes_sent = 0;
    ResponseHead head;
    CURL* easy = nullptr;
    curl_slist* header_list = nullptr;
    CallOutcome outcome;
    Millis started;
    Millis last_progress;
    Timer timer;  // Fires when a timeout may have expired.
    bool response_started = false;
    bool cancelled_by_callback = false;
    bool response_too_large = false;
    bool response_malformed = false;
    bool paused = false;         // No more is read until it is resumed.
    CurlSocketPtr socket;        // That libcurl waited for last; may be null.
    bool looked_behind = false;  // On `socket`, for trailing bytes.
  };

  void SetOptions(Transfer* transfer) {
    CURL* easy = transfer->easy;
    const HttpCall& call = transfer->call;
    std::string url = "http://" + call.address + call.target;
    curl_easy_setopt(easy, CURLOPT_URL, url.c_str());
    curl_easy_setopt(easy, CURLOPT_PATH_AS_IS, 1L);
    curl_easy_setopt(easy, CURLOPT_REQUEST_TARGET, call.target.c_str());
    curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http");
    curl_easy_setopt(easy, CURLOPT_PROXY, "");
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy, CURLOPT_TCP_NODELAY, 1L);
    curl_easy_setopt(easy, CURLOPT_TCP_KEEPALIVE, 1L);
    curl_easy_setopt(easy, CURLOPT_TCP_KEEPIDLE, kKeepAliveSeconds);
    curl_easy_setopt(easy, CURLOPT_TCP_KEEPINTVL, kKeepAliveSeconds);
    curl_easy_setopt(easy, CURLOPT_SOCKOPTFUNCTION, &SetSocketOptions);
    curl_easy_setopt(easy, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
    curl_easy_setopt(easy, CURLOPT_PRIVATE, transfer);
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &Impl::OnBody);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, transfer);
    curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, &Impl::OnHeader);
    curl_easy_setopt(easy, CURLOPT_HEADERDATA, transfer);
    curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS,
                     static_cast<long>(call.timeouts.connect.count()));
    if (call.max_connection_idle_s > 0) {
      curl_easy_setopt(easy, CURLOPT_MAXAGE_CONN,
                       static_cast<long>(call.max_connection_idle_s));
    }
    poller_->Attach(easy);
    SetBody(transfer);
    bool new_connection = call.new_connection || call.dedicated_connection ||
                          (call.send_once && call.body.empty());
    if (new_connection) {
      curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 1L);
    }
    if (call.dedicated_connection) {
      curl_easy_setopt(easy, CURLOPT_FORBID_REUSE, 1L);
    }
    SetHeaders(transfer);
  }

  static void SetBody(Transfer* transfer) {
    CURL* easy = transfer->easy;
    const HttpCall& call = transfer->call;
    if (!call.body.empty() || call.method == "POST") {
      curl_easy_setopt(easy, CURLOPT_POST, 1L);
      curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE,
                       static_cast<curl_off_t>(call.body.size()));
      if (call.send_once && !call.body.empty()) {
        // Without a seek function libcurl can't rewind the body, so it fails
        // instead of resending the request.
        curl_easy_setopt(easy, CURLOPT_READFUNCTION, &Impl::OnRead);
        curl_easy_setopt(easy, CURLOPT_READDATA, transfer);
      } else {
        curl_easy_setopt(easy, CURLOPT_POSTFIELDS, call.body.data());
      }
    } else if (call.method == "HEAD") {
      curl_easy_setopt(easy, CURLOPT_NOBODY, 1L);
    }
    curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, call.method.c_str());
  }

  static void SetHeaders(Transfer* transfer) {
    const HttpCall& call = transfer->call;
    // Suppresses the fields that libcurl adds by default, unless the call sets
    // them.
    curl_slist* list = curl_slist_append(nullptr, "Expect:");
    for (const char* name : {"Accept", "Content-Type", "User-Agent"}) {
      if (call.headers.Get(name).empty()) {
        list = curl_slist_append(list, (std::string(name) + ":").c_str());
      }
    }
    for (const HttpHeader& field : call.headers.fields()) {
      // libcurl expects a field without a value to end in a semicolon.
      std::string line = field.value.empty() ? field.name + ";"
                                             : field.name + ": " + field.value;
      list = curl_slist_append(list, line.c_str());
    }
    transfer->header_list = list;
    curl_easy_setopt(transfer->easy, CURLOPT_HTTPHEADER, list);
  }

  static size_t OnRead(char* buffer, size_t size, size_t count,
                       void* user_data) {
    auto* transfer = static_cast<Transfer*>(user_data);
    const std::string& body = transfer->call.body;
    size_t bytes =
        std::min(size * count, body.size() - transfer->body_bytes_sent);
    std::copy_n(body.data() + transfer->body_bytes_sent, bytes, buffer);
    transfer->body_bytes_sent += bytes;
    return bytes;
  }

  static size_t OnHeader(char* data, size_t size, size_t count,
                         void* user_data) {
    auto* transfer = static_cast<Transfer*>(user_data);
    RecordProgress(transfer);
    switch (transfer->head.Feed(std::string_view(data, size * count))) {
      case ResponseHead::Progress::kIncomplete:
        return size * count;
      case ResponseHead::Progress::kComplete:
        return OnHeadComplete(transfer) ? size * count : 0;
      case ResponseHead::Progress::kMalformed:
        transfer->response_malformed = true;
        return 0;
      case ResponseHead::Progress::kTooLarge:
        transfer->response_too_large = true;
        return 0;
    }
    return 0;
  }

  // Connections that the transfer has opened so far.
  static uint64_t NewConnections(const Transfer& transfer) {
    long count = 0;
    curl_easy_getinfo(transfer.easy, CURLINFO_NUM_CONNECTS, &count);
    return static_cast<uint64_t>(count);
  }

  // Returns false to cancel.
  static bool OnHeadComplete(Transfer* transfer) {
    transfer->outcome.status = transfer->head.status();
    transfer->outcome.headers = transfer->head.headers();
    if (!transfer->call.on_headers) {
      return true;
    }
    ResponseStart start;
    start.status = transfer->head.status();
    start.headers = transfer->head.headers();
    start.reused_connection = NewConnections(*transfer) == 0;
    start.framing = transfer->head.framing(transfer->call.method);
    if (transfer->call.on_headers(start)) {
      return true;
    }
    transfer->cancelled_by_callback = true;
    return false;
  }

  static size_t OnBody(char* data, size_t size, size_t count, void* user_data) {
    auto* transfer = static_cast<Transfer*>(user_data);
    RecordProgress(transfer);
    size_t bytes = size * count;
    if (transfer->call.on_data && transfer->outcome.status < 300) {
      if (!transfer->call.on_data(std::string_view(data, bytes))) {
        transfer->cancelled_by_callback = true;
        return 0;
      }
      if (transfer->paused) {
        curl_easy_pause(transfer->easy, CURLPAUSE_RECV);
      }
      return bytes;
    }
    if (transfer->outcome.body.size() + bytes >
        transfer->call.max_response_bytes) {
      transfer->response_too_large = true;
      return 0;
    }
    transfer->outcome.body.append(data, bytes);
    return bytes;
  }

  static void RecordProgress(Transfer* transfer) {
    transfer->last_progress = EventLoop::Now();
    transfer->response_started = true;
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
      Transfer* transfer = TransferOf(message->easy_handle);
      Finish(transfer, Classify(*transfer, message->data.result));
    }
  }

  // Null for libcurl's own handles.
  static Transfer* TransferOf(CURL* easy) {
    char* user_data = nullptr;
    if (easy != nullptr) {
      curl_easy_getinfo(easy, CURLINFO_PRIVATE, &user_data);
    }
    return reinterpret_cast<Transfer*>(user_data);
  }

  static void LookBehindResponse(Transfer* transfer,
                                 const CurlSocketPtr& socket) {
    transfer->looked_behind = true;
    transfer->outcome.trailing = CurlSocketPoller::ShutDownIfReadable(socket);
  }

  // Finds what stands behind a complete response.
  void SetTrailingBytes(Transfer* transfer) {
    if (!transfer->looked_behind) {
      // The response arrived before libcurl had to wait for it.
      curl_socket_t fd = CURL_SOCKET_BAD;
      curl_easy_getinfo(transfer->easy, CURLINFO_ACTIVESOCKET, &fd);
      transfer->socket = poller_->Find(fd);
      bool in_use_again =
          transfer->socket && CurlSocketPoller::InUse(transfer->socket);
      if (transfer->socket && !in_use_again) {
        LookBehindResponse(transfer, transfer->socket);
      }
    }
    if (transfer->outcome.trailing == TrailingBytes::kNone &&
        ClosedByLibcurl(*transfer)) {
      transfer->outcome.trailing = TrailingBytes::kUnknown;
    }
  }

  // Watches the connection of a complete response if it has gone back to the
  // pool.
  void WatchIfIdle(const Transfer& transfer) {
    const CurlSocketPtr& socket = transfer.socket;
    if (transfer.outcome.trailing == TrailingBytes::kNone && socket &&
        CurlSocketPoller::IsOpen(socket) && !CurlSocketPoller::InUse(socket)) {
      poller_->WatchIdle(socket, transfer.call.address);
    }
  }

  // Whether libcurl closed the connection of a complete response although
  // neither side asked for it. It does so when it has read more than the
  // stated length.
  bool ClosedByLibcurl(const Transfer& transfer) const {
    const HttpCall& call = transfer.call;
    bool closed =
        !transfer.socket || !CurlSocketPoller::IsOpen(transfer.socket);
    bool pool_full = poller_->open_sockets() >= kMaxPooledConnections;
    if (!closed || pool_full || call.dedicated_connection ||
        transfer.head.framing(call.method) != BodyFraming::kLength ||
        !transfer.head.keeps_connection()) {
      return false;
    }
    // libcurl also closes if the response came before all of the request was
    // sent.
    curl_off_t sent = 0;
    curl_easy_getinfo(transfer.easy, CURLINFO_SIZE_UPLOAD_T, &sent);
    return sent == static_cast<curl_off_t>(call.body.size());
  }

  static CallResult Classify(const Transfer& transfer, CURLcode code) {
    if (code == CURLE_OK) {
      // libcurl also takes a head that breaks off for a whole response.
      bool has_head = transfer.outcome.status != 0;
      return has_head ? CallResult::kComplete : CallResult::kConnectionBroken;
    }
    if (transfer.cancelled_by_callback) {
      return CallResult::kCancelled;
    }
    bool malformed = transfer.response_malformed ||
                     code == CURLE_UNSUPPORTED_PROTOCOL ||
                     code == CURLE_WEIRD_SERVER_REPLY;
    if (malformed) {
      return CallResult::kMalformedResponse;
    }
    // libcurl has a limit of its own for a single line.
    bool line_too_long = code == CURLE_OUT_OF_MEMORY;
    if (transfer.response_too_large || line_too_long) {
      return CallResult::kResponseTooLarge;
    }
    // libcurl may have sent the request on a pooled connection that broke, and
    // then have failed to open a new one. The code of such a failure does not
    // prove that the request was not sent.
    long sent_bytes = 0;
    curl_easy_getinfo(transfer.easy, CURLINFO_REQUEST_SIZE, &sent_bytes);
    bool sent = sent_bytes > 0 || transfer.body_bytes_sent > 0;
    if (!sent && code == CURLE_COULDNT_CONNECT) {
      return CallResult::kConnectFailed;
    }
    if (!sent && code == CURLE_OPERATION_TIMEDOUT) {
      return CallResult::kConnectTimeout;
    }
    return CallResult::kConnectionBroken;
  }

  // The time at which the transfer's next timeout expires.
  static Millis NextDeadline(const Transfer& transfer) {
    const CallTimeouts& timeouts = transfer.call.timeouts;
    Millis idle_timeout =
        transfer.response_started ? timeouts.idle : timeouts.first_byte;
    return std::min(transfer.started + timeouts.total,
                    transfer.last_progress + idle_timeout);
  }

  void StartTimeoutTimer(Transfer* transfer) {
    Millis delay =
        std::max(Millis(1), NextDeadline(*transfer) - EventLoop::Now());
    transfer->timer.Start(delay, [this, transfer] { CheckTimeouts(transfer); });
  }

  void CheckTimeouts(Transfer* transfer) {
    Millis now = EventLoop::Now();
    if (now < NextDeadline(*transfer)) {
      StartTimeoutTimer(transfer);
    } else if (now >= transfer->started + transfer->call.timeouts.total) {
      Finish(transfer, CallResult::kTotalTimeout);
    } else {
      Finish(transfer, CallResult::kStalled);
    }
  }

  // Removes the transfer, calls `on_done` and destroys the transfer.
  void Finish(Transfer* transfer, CallResult result) {
    if (result == CallResult::kComplete) {
      SetTrailingBytes(transfer);
      WatchIfIdle(*transfer);
    }
    uint64_t new_connections = NewConnections(*transfer);
    connections_opened_ += new_connections;
    curl_multi_remove_handle(multi_, transfer->easy);
    curl_easy_cleanup(transfer->easy);
    curl_slist_free_all(transfer->header_list);
    // Destroys the transfer at the end of this function.
    auto extracted = transfers_.extract(transfer->id);
    transfer->outcome.result = result;
    transfer->outcome.reused_connection = new_connections == 0;
    if (transfer->call.on_done) {
      transfer->call.on_done(std::move(transfer->outcome));
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
  std::unordered_map<CallId, std::unique_ptr<Transfer>> transfers_;
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

uint64_t EventLoopHttpClient::connections_opened() const {
  return impl_->connections_opened();
}

}  // namespace bilberrypitch
