// libcurl's multi interface behind HttpClient.
//
// Deadlines for progress are kept for each connection by the worker itself. A
// transfer that ends early is removed from the multi handle unfinished, which
// makes libcurl close its connection: no late answer can reach another call.
#include "transport/http_client.h"

#include <curl/curl.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <future>
#include <mutex>
#include <thread>
#include <unordered_map>

#include "base/check.h"
#include "base/hash.h"

namespace bilberrypitch {
namespace {

constexpr int kLongestPollMs = 50;
constexpr long kConnectionsKept = 512;

Millis MonotonicNow() {
  auto now = std::chrono::steady_clock::now().time_since_epoch();
  return Millis(
      std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
}

std::once_flag global_init;

}  // namespace

class HttpClient::Worker {
 public:
  explicit Worker(uint64_t index) : index_(index), multi_(curl_multi_init()) {
    BP_CHECK(multi_ != nullptr, "libcurl gives a multi handle");
    curl_multi_setopt(multi_, CURLMOPT_MAXCONNECTS, kConnectionsKept);
    thread_ = std::thread([this] { Loop(); });
  }

  ~Worker() {
    stopping_ = true;
    curl_multi_wakeup(multi_);
    thread_.join();
    curl_multi_cleanup(multi_);
  }

  void Add(CallId id, HttpCall call) {
    {
      std::lock_guard lock(lock_);
      added_.push_back({id, std::move(call)});
    }
    curl_multi_wakeup(multi_);
  }

  void Cancel(CallId id) {
    {
      std::lock_guard lock(lock_);
      cancelled_.push_back(id);
    }
    curl_multi_wakeup(multi_);
  }

 private:
  struct Added {
    CallId id;
    HttpCall call;
  };

  // One call on its way. Owned by `transfers_`, used by this thread only.
  struct Transfer {
    CallId id = 0;
    HttpCall call;
    CURL* easy = nullptr;
    curl_slist* header_list = nullptr;
    CallOutcome outcome;
    Millis started;
    Millis last_progress;
    bool answer_begun = false;
    bool refused_by_consumer = false;
    bool too_large = false;
  };

  void Loop() {
    while (!stopping_) {
      TakeAdded();
      TakeCancelled();
      int running = 0;
      curl_multi_perform(multi_, &running);
      FinishDone();
      FinishOverdue();
      curl_multi_poll(multi_, nullptr, 0, kLongestPollMs, nullptr);
    }
    TakeAdded();
    while (!transfers_.empty()) {
      Finish(transfers_.begin()->second.get(), CallResult::kCancelled);
    }
  }

  void TakeAdded() {
    std::vector<Added> added;
    {
      std::lock_guard lock(lock_);
      added.swap(added_);
    }
    for (Added& it : added) {
      StartTransfer(it.id, std::move(it.call));
    }
  }

  void TakeCancelled() {
    std::vector<CallId> cancelled;
    {
      std::lock_guard lock(lock_);
      cancelled.swap(cancelled_);
    }
    for (CallId id : cancelled) {
      auto it = transfers_.find(id);
      if (it != transfers_.end()) {
        Finish(it->second.get(), CallResult::kCancelled);
      }
    }
  }

  void StartTransfer(CallId id, HttpCall call) {
    auto transfer = std::make_unique<Transfer>();
    transfer->id = id;
    transfer->call = std::move(call);
    transfer->easy = curl_easy_init();
    BP_CHECK(transfer->easy != nullptr, "libcurl gives an easy handle");
    transfer->started = MonotonicNow();
    transfer->last_progress = transfer->started;
    SetOptions(transfer.get());
    curl_multi_add_handle(multi_, transfer->easy);
    transfers_[id] = std::move(transfer);
  }

  static void SetOptions(Transfer* transfer) {
    CURL* easy = transfer->easy;
    const HttpCall& call = transfer->call;
    std::string url = "http://" + call.address + call.target;
    curl_easy_setopt(easy, CURLOPT_URL, url.c_str());
    curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http");
    curl_easy_setopt(easy, CURLOPT_PROXY, "");
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy, CURLOPT_TCP_NODELAY, 1L);
    curl_easy_setopt(easy, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
    curl_easy_setopt(easy, CURLOPT_PRIVATE, transfer);
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &Worker::OnBody);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, transfer);
    curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, &Worker::OnHeader);
    curl_easy_setopt(easy, CURLOPT_HEADERDATA, transfer);
    curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS,
                     static_cast<long>(call.deadlines.connect.count()));
    curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, call.method.c_str());
    if (!call.body.empty() || call.method == "POST") {
      curl_easy_setopt(easy, CURLOPT_POST, 1L);
      curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE,
                       static_cast<curl_off_t>(call.body.size()));
      curl_easy_setopt(easy, CURLOPT_POSTFIELDS, call.body.data());
    } else if (call.method == "HEAD") {
      curl_easy_setopt(easy, CURLOPT_NOBODY, 1L);
    }
    if (call.own_connection) {
      curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 1L);
      curl_easy_setopt(easy, CURLOPT_FORBID_REUSE, 1L);
    }
    curl_slist* list = curl_slist_append(nullptr, "Expect:");
    for (const HttpHeader& it : call.headers.all()) {
      list = curl_slist_append(list, (it.name + ": " + it.value).c_str());
    }
    transfer->header_list = list;
    curl_easy_setopt(easy, CURLOPT_HTTPHEADER, list);
  }

  static size_t OnHeader(char* data, size_t size, size_t n, void* user) {
    auto* transfer = static_cast<Transfer*>(user);
    Touch(transfer);
    std::string_view line(data, size * n);
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

  static size_t OnBody(char* data, size_t size, size_t n, void* user) {
    auto* transfer = static_cast<Transfer*>(user);
    Touch(transfer);
    long status = 0;
    curl_easy_getinfo(transfer->easy, CURLINFO_RESPONSE_CODE, &status);
    transfer->outcome.status = static_cast<int>(status);
    size_t bytes = size * n;
    if (transfer->call.on_data && status < 300) {
      if (!transfer->call.on_data(std::string_view(data, bytes))) {
        transfer->refused_by_consumer = true;
        return 0;
      }
      return bytes;
    }
    if (transfer->outcome.body.size() + bytes >
        transfer->call.max_answer_bytes) {
      transfer->too_large = true;
      return 0;
    }
    transfer->outcome.body.append(data, bytes);
    return bytes;
  }

  static void Touch(Transfer* transfer) {
    transfer->last_progress = MonotonicNow();
    transfer->answer_begun = true;
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
      return CallResult::kTooLarge;
    }
    // The time of the connection is set only once it stood.
    curl_off_t connected = 0;
    curl_easy_getinfo(transfer.easy, CURLINFO_CONNECT_TIME_T, &connected);
    if (code == CURLE_COULDNT_CONNECT) {
      return CallResult::kRefused;
    }
    if (code == CURLE_OPERATION_TIMEDOUT && connected == 0) {
      return CallResult::kConnectTimeout;
    }
    return CallResult::kBroken;
  }

  void FinishOverdue() {
    Millis now = MonotonicNow();
    std::vector<std::pair<Transfer*, CallResult>> overdue;
    for (auto& [id, transfer] : transfers_) {
      const CallDeadlines& limit = transfer->call.deadlines;
      Millis quiet = now - transfer->last_progress;
      Millis allowed =
          transfer->answer_begun ? limit.progress : limit.first_byte;
      if (now - transfer->started > limit.whole) {
        overdue.emplace_back(transfer.get(), CallResult::kTooLong);
      } else if (quiet > allowed) {
        overdue.emplace_back(transfer.get(), CallResult::kSilent);
      }
    }
    for (auto& [transfer, result] : overdue) {
      Finish(transfer, result);
    }
  }

  void Finish(Transfer* transfer, CallResult result) {
    long status = 0;
    long new_connections = 0;
    curl_easy_getinfo(transfer->easy, CURLINFO_RESPONSE_CODE, &status);
    curl_easy_getinfo(transfer->easy, CURLINFO_NUM_CONNECTS, &new_connections);
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

  const uint64_t index_;
  CURLM* multi_;
  std::atomic<bool> stopping_ = false;
  std::mutex lock_;  // Guards the two lists below.
  std::vector<Added> added_;
  std::vector<CallId> cancelled_;
  std::unordered_map<CallId, std::unique_ptr<Transfer>> transfers_;
  std::thread thread_;
};

HttpClient::HttpClient(size_t workers) {
  BP_CHECK(workers > 0, "a client has a worker");
  std::call_once(global_init, [] { curl_global_init(CURL_GLOBAL_ALL); });
  for (size_t i = 0; i < workers; ++i) {
    workers_.push_back(std::make_unique<Worker>(i));
  }
}

HttpClient::~HttpClient() = default;

CallId HttpClient::Start(HttpCall call) {
  static std::atomic<uint64_t> next = 1;
  // Calls to one address share a worker and so its connections.
  size_t index = StableHash(call.address) % workers_.size();
  CallId id = next.fetch_add(1) * workers_.size() + index;
  workers_[index]->Add(id, std::move(call));
  return id;
}

void HttpClient::Cancel(CallId id) {
  workers_[id % workers_.size()]->Cancel(id);
}

CallOutcome HttpClient::Run(HttpCall call) {
  auto promise = std::make_shared<std::promise<CallOutcome>>();
  std::future<CallOutcome> future = promise->get_future();
  call.on_done = [promise](CallOutcome outcome) {
    promise->set_value(std::move(outcome));
  };
  Start(std::move(call));
  return future.get();
}

}  // namespace bilberrypitch
