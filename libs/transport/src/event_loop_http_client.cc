// libcurl's multi interface on an Asio loop.
//
// Deadlines for progress are kept for each transfer. A transfer that ends
// early is removed from the multi handle unfinished, which makes libcurl close
// its connection: no late answer can reach another call.
#include "transport/event_loop_http_client.h"

#include <curl/curl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <asio.hpp>
#include <mutex>
#include <unordered_map>

#include "base/check.h"
#include "transport/event_loop.h"
#include "transport/timer.h"

namespace bilberrypitch {
namespace {

constexpr long kConnectionsKept = 512;
// After this time without an acknowledgement the system ends a connection.
constexpr int kUnacknowledgedMs = 3000;
constexpr long kKeepAliveSeconds = 2;

std::once_flag global_init;

int SetSocketOptions(void* /*user*/, curl_socket_t socket, curlsocktype) {
  int limit = kUnacknowledgedMs;
  setsockopt(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, &limit, sizeof(limit));
  return CURL_SOCKOPT_OK;
}

}  // namespace

class EventLoopHttpClient::Impl {
 public:
  explicit Impl(EventLoop* loop)
      : loop_(loop), multi_(nullptr), curl_timer_(loop) {
    std::call_once(global_init, [] { curl_global_init(CURL_GLOBAL_ALL); });
    multi_ = curl_multi_init();
    BP_CHECK(multi_ != nullptr, "libcurl gives a multi handle");
    curl_multi_setopt(multi_, CURLMOPT_MAXCONNECTS, kConnectionsKept);
    curl_multi_setopt(multi_, CURLMOPT_SOCKETFUNCTION, &Impl::OnSocket);
    curl_multi_setopt(multi_, CURLMOPT_SOCKETDATA, this);
    curl_multi_setopt(multi_, CURLMOPT_TIMERFUNCTION, &Impl::OnTimer);
    curl_multi_setopt(multi_, CURLMOPT_TIMERDATA, this);
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
  uint64_t connections_made() const { return connections_made_; }

  void Start(CallId id, HttpCall call) {
    if (inside_libcurl_) {
      // libcurl takes no new transfer from within its callbacks.
      auto shared = std::make_shared<HttpCall>(std::move(call));
      loop_->Post([this, id, shared] { Start(id, std::move(*shared)); });
      return;
    }
    auto transfer = std::make_unique<Transfer>(loop_);
    transfer->id = id;
    transfer->owner = this;
    transfer->call = std::move(call);
    transfer->easy = curl_easy_init();
    BP_CHECK(transfer->easy != nullptr, "libcurl gives an easy handle");
    transfer->started = EventLoop::Now();
    transfer->last_progress = transfer->started;
    SetOptions(transfer.get());
    Transfer* it = transfer.get();
    transfers_[id] = std::move(transfer);
    curl_multi_add_handle(multi_, it->easy);
    Watch(it);
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

 private:
  // One call on its way.
  struct Transfer {
    explicit Transfer(EventLoop* loop) : timer(loop) {}
    CallId id = 0;
    Impl* owner = nullptr;
    HttpCall call;
    size_t body_sent = 0;
    CURL* easy = nullptr;
    curl_slist* header_list = nullptr;
    CallOutcome outcome;
    Millis started;
    Millis last_progress;
    Timer timer;  // Fires when a deadline may have passed.
    bool answer_begun = false;
    bool refused_by_consumer = false;
    bool too_large = false;
  };

  // One socket that libcurl wants watched.
  struct Watched {
    explicit Watched(asio::io_context& context, int fd)
        : descriptor(context, fd) {}
    ~Watched() { descriptor.release(); }
    asio::posix::stream_descriptor descriptor;
    int wanted = 0;  // CURL_POLL_IN, CURL_POLL_OUT or both.
    bool reading = false;
    bool writing = false;
    bool removed = false;
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
    SetBody(transfer);
    bool own =
        call.dedicated_connection || (call.send_once && call.body.empty());
    if (own) {
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
        // Without a way to rewind libcurl fails instead of sending again.
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
    // Fields that libcurl would add by itself are left out unless given.
    curl_slist* list = curl_slist_append(nullptr, "Expect:");
    for (const char* name : {"Accept", "Content-Type", "User-Agent"}) {
      if (call.headers.Get(name).empty()) {
        list = curl_slist_append(list, (std::string(name) + ":").c_str());
      }
    }
    for (const HttpHeader& it : call.headers.fields()) {
      // A trailing semicolon is libcurl's form of a field without a value.
      std::string line =
          it.value.empty() ? it.name + ";" : it.name + ": " + it.value;
      list = curl_slist_append(list, line.c_str());
    }
    transfer->header_list = list;
    curl_easy_setopt(transfer->easy, CURLOPT_HTTPHEADER, list);
  }

  static size_t OnRead(char* to, size_t size, size_t n, void* user) {
    auto* transfer = static_cast<Transfer*>(user);
    const std::string& body = transfer->call.body;
    size_t bytes = std::min(size * n, body.size() - transfer->body_sent);
    std::copy_n(body.data() + transfer->body_sent, bytes, to);
    transfer->body_sent += bytes;
    return bytes;
  }

  static size_t OnHeader(char* data, size_t size, size_t n, void* user) {
    auto* transfer = static_cast<Transfer*>(user);
    Touch(transfer);
    std::string_view line(data, size * n);
    if (line.substr(0, 5) == "HTTP/") {
      transfer->outcome.headers = HttpHeaders();
      return size * n;
    }
    if (line == "\r\n" || line == "\n") {
      return OnHeadEnd(transfer) ? size * n : 0;
    }
    size_t colon = line.find(':');
    if (colon != std::string_view::npos) {
      size_t from = line.find_first_not_of(" \t", colon + 1);
      size_t to = line.find_last_not_of(" \t\r\n");
      std::string value;
      if (from != std::string_view::npos && to >= from) {
        value = std::string(line.substr(from, to - from + 1));
      }
      transfer->outcome.headers.Add(std::string(line.substr(0, colon)),
                                    std::move(value));
    }
    return size * n;
  }

  static bool OnHeadEnd(Transfer* transfer) {
    long status = 0;
    curl_easy_getinfo(transfer->easy, CURLINFO_RESPONSE_CODE, &status);
    transfer->outcome.status = static_cast<int>(status);
    if (status < 200 || !transfer->call.on_headers) {
      return true;
    }
    if (transfer->call.on_headers(transfer->outcome.status,
                                  transfer->outcome.headers)) {
      return true;
    }
    transfer->refused_by_consumer = true;
    return false;
  }

  static size_t OnBody(char* data, size_t size, size_t n, void* user) {
    auto* transfer = static_cast<Transfer*>(user);
    Touch(transfer);
    size_t bytes = size * n;
    if (transfer->call.on_data && transfer->outcome.status < 300) {
      if (!transfer->call.on_data(std::string_view(data, bytes))) {
        transfer->refused_by_consumer = true;
        return 0;
      }
      return bytes;
    }
    if (transfer->outcome.body.size() + bytes >
        transfer->call.max_response_bytes) {
      transfer->too_large = true;
      return 0;
    }
    transfer->outcome.body.append(data, bytes);
    return bytes;
  }

  static void Touch(Transfer* transfer) {
    transfer->last_progress = EventLoop::Now();
    transfer->answer_begun = true;
  }

  static int OnSocket(CURL* /*easy*/, curl_socket_t fd, int what, void* user,
                      void* /*socket_data*/) {
    static_cast<Impl*>(user)->SetWatch(fd, what);
    return 0;
  }

  void SetWatch(int fd, int what) {
    auto it = watched_.find(fd);
    if (what == CURL_POLL_REMOVE) {
      if (it != watched_.end()) {
        it->second->removed = true;
        it->second->descriptor.release();
        watched_.erase(it);
      }
      return;
    }
    if (it == watched_.end()) {
      auto added = std::make_shared<Watched>(loop_->context(), fd);
      it = watched_.emplace(fd, std::move(added)).first;
    }
    it->second->wanted = what;
    Arm(fd, it->second);
  }

  void Arm(int fd, const std::shared_ptr<Watched>& it) {
    if ((it->wanted & CURL_POLL_IN) != 0 && !it->reading) {
      it->reading = true;
      it->descriptor.async_wait(asio::posix::stream_descriptor::wait_read,
                                [this, fd, it](const asio::error_code& ec) {
                                  it->reading = false;
                                  OnReady(fd, it, CURL_CSELECT_IN, ec);
                                });
    }
    if ((it->wanted & CURL_POLL_OUT) != 0 && !it->writing) {
      it->writing = true;
      it->descriptor.async_wait(asio::posix::stream_descriptor::wait_write,
                                [this, fd, it](const asio::error_code& ec) {
                                  it->writing = false;
                                  OnReady(fd, it, CURL_CSELECT_OUT, ec);
                                });
    }
  }

  void OnReady(int fd, const std::shared_ptr<Watched>& it, int events,
               const asio::error_code& ec) {
    if (it->removed || ec == asio::error::operation_aborted) {
      return;
    }
    bool wanted = (events == CURL_CSELECT_IN)
                      ? (it->wanted & CURL_POLL_IN) != 0
                      : (it->wanted & CURL_POLL_OUT) != 0;
    if (!wanted) {
      return;
    }
    Drive(fd, ec ? CURL_CSELECT_ERR : events);
    if (!it->removed) {
      Arm(fd, it);
    }
  }

  static int OnTimer(CURLM* /*multi*/, long after_ms, void* user) {
    auto* self = static_cast<Impl*>(user);
    if (after_ms < 0) {
      self->curl_timer_.Cancel();
    } else {
      self->curl_timer_.Start(Millis(after_ms),
                              [self] { self->Drive(CURL_SOCKET_TIMEOUT, 0); });
    }
    return 0;
  }

  void Drive(curl_socket_t socket, int events) {
    int running = 0;
    inside_libcurl_ = true;
    curl_multi_socket_action(multi_, socket, events, &running);
    inside_libcurl_ = false;
    FinishDone();
  }

  void FinishDone() {
    int left = 0;
    while (CURLMsg* message = curl_multi_info_read(multi_, &left)) {
      if (message->msg != CURLMSG_DONE) {
        continue;
      }
      char* user = nullptr;
      curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &user);
      auto* transfer = reinterpret_cast<Transfer*>(user);
      Finish(transfer, Classify(*transfer, message->data.result));
    }
  }

  static CallResult Classify(const Transfer& transfer, CURLcode code) {
    if (code == CURLE_OK) {
      return CallResult::kComplete;
    }
    if (transfer.refused_by_consumer) {
      return CallResult::kCancelled;
    }
    if (transfer.too_large) {
      return CallResult::kResponseTooLarge;
    }
    // libcurl may have sent the request on a kept connection that broke and
    // then have failed to make another one.
    long sent_bytes = 0;
    curl_easy_getinfo(transfer.easy, CURLINFO_REQUEST_SIZE, &sent_bytes);
    bool sent = sent_bytes > 0 || transfer.body_sent > 0;
    if (!sent && code == CURLE_COULDNT_CONNECT) {
      return CallResult::kConnectFailed;
    }
    if (!sent && code == CURLE_OPERATION_TIMEDOUT) {
      return CallResult::kConnectTimeout;
    }
    return CallResult::kConnectionBroken;
  }

  // When the next of the transfer's deadlines passes.
  static Millis NextDue(const Transfer& it) {
    const CallTimeouts& limit = it.call.timeouts;
    Millis quiet = it.answer_begun ? limit.idle : limit.first_byte;
    return std::min(it.started + limit.total, it.last_progress + quiet);
  }

  void Watch(Transfer* transfer) {
    Millis delay = std::max(Millis(1), NextDue(*transfer) - EventLoop::Now());
    transfer->timer.Start(delay, [this, transfer] { CheckDue(transfer); });
  }

  void CheckDue(Transfer* transfer) {
    Millis now = EventLoop::Now();
    if (now < NextDue(*transfer)) {
      Watch(transfer);
    } else if (now >= transfer->started + transfer->call.timeouts.total) {
      Finish(transfer, CallResult::kTotalTimeout);
    } else {
      Finish(transfer, CallResult::kStalled);
    }
  }

  void Finish(Transfer* transfer, CallResult result) {
    long status = 0;
    long new_connections = 0;
    curl_easy_getinfo(transfer->easy, CURLINFO_RESPONSE_CODE, &status);
    curl_easy_getinfo(transfer->easy, CURLINFO_NUM_CONNECTS, &new_connections);
    connections_made_ += static_cast<uint64_t>(new_connections);
    curl_multi_remove_handle(multi_, transfer->easy);
    curl_easy_cleanup(transfer->easy);
    curl_slist_free_all(transfer->header_list);
    auto node = transfers_.extract(transfer->id);
    transfer->outcome.result = result;
    transfer->outcome.status = static_cast<int>(status);
    transfer->outcome.reused_connection = new_connections == 0;
    if (transfer->call.on_done) {
      transfer->call.on_done(std::move(transfer->outcome));
    }
  }

  EventLoop* const loop_;
  CURLM* multi_;
  Timer curl_timer_;
  bool inside_libcurl_ = false;  // While libcurl may call back.
  CallId last_id_ = 0;
  uint64_t connections_made_ = 0;
  std::unordered_map<CallId, std::unique_ptr<Transfer>> transfers_;
  std::unordered_map<int, std::shared_ptr<Watched>> watched_;
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

void EventLoopHttpClient::CancelAll() { impl_->CancelAll(); }

uint64_t EventLoopHttpClient::connections_opened() const {
  return impl_->connections_made();
}

}  // namespace bilberrypitch
