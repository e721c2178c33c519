// Sets up the libcurl handle of a transfer for its call.
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <string>

#include "http_transfer.h"

namespace bilberrypitch {
namespace {

// The system closes a connection whose sent data remains unacknowledged for
// this time.
constexpr int kTcpUserTimeoutMs = 3000;
// Idle time before the first TCP keep-alive probe, and the time between probes.
constexpr long kKeepAliveSeconds = 2;

int SetSocketOptions(void* /*user*/, curl_socket_t socket, curlsocktype) {
  int timeout_ms = kTcpUserTimeoutMs;
  setsockopt(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout_ms,
             sizeof(timeout_ms));
  return CURL_SOCKOPT_OK;
}

}  // namespace

void HttpTransfer::SetOptions() {
  std::string url = "http://" + call_.address + call_.target;
  curl_easy_setopt(easy_, CURLOPT_URL, url.c_str());
  curl_easy_setopt(easy_, CURLOPT_PATH_AS_IS, 1L);
  curl_easy_setopt(easy_, CURLOPT_REQUEST_TARGET, call_.target.c_str());
  curl_easy_setopt(easy_, CURLOPT_PROTOCOLS_STR, "http");
  curl_easy_setopt(easy_, CURLOPT_PROXY, "");
  curl_easy_setopt(easy_, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(easy_, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
  curl_easy_setopt(easy_, CURLOPT_PRIVATE, this);
  curl_easy_setopt(easy_, CURLOPT_WRITEFUNCTION, &HttpTransfer::OnBody);
  curl_easy_setopt(easy_, CURLOPT_WRITEDATA, this);
  curl_easy_setopt(easy_, CURLOPT_HEADERFUNCTION, &HttpTransfer::OnHeader);
  curl_easy_setopt(easy_, CURLOPT_HEADERDATA, this);
  SetConnectionOptions();
  SetBody();
  SetHeaders();
}

void HttpTransfer::SetConnectionOptions() {
  curl_easy_setopt(easy_, CURLOPT_TCP_NODELAY, 1L);
  curl_easy_setopt(easy_, CURLOPT_TCP_KEEPALIVE, 1L);
  curl_easy_setopt(easy_, CURLOPT_TCP_KEEPIDLE, kKeepAliveSeconds);
  curl_easy_setopt(easy_, CURLOPT_TCP_KEEPINTVL, kKeepAliveSeconds);
  curl_easy_setopt(easy_, CURLOPT_SOCKOPTFUNCTION, &SetSocketOptions);
  curl_easy_setopt(easy_, CURLOPT_CONNECTTIMEOUT_MS,
                   static_cast<long>(call_.timeouts.connect.count()));
  if (call_.max_connection_idle_s > 0) {
    curl_easy_setopt(easy_, CURLOPT_MAXAGE_CONN,
                     static_cast<long>(call_.max_connection_idle_s));
  }
  poller_->Attach(easy_);
  bool new_connection = call_.new_connection || call_.dedicated_connection ||
                        (call_.send_once && call_.body.empty());
  if (new_connection) {
    curl_easy_setopt(easy_, CURLOPT_FRESH_CONNECT, 1L);
  }
  if (call_.dedicated_connection) {
    curl_easy_setopt(easy_, CURLOPT_FORBID_REUSE, 1L);
  }
}

void HttpTransfer::SetBody() {
  if (!call_.body.empty() || call_.method == "POST") {
    curl_easy_setopt(easy_, CURLOPT_POST, 1L);
    curl_easy_setopt(easy_, CURLOPT_POSTFIELDSIZE_LARGE,
                     static_cast<curl_off_t>(call_.body.size()));
    if (call_.send_once && !call_.body.empty()) {
      // Without a seek function libcurl can't rewind the body, so it fails
      // instead of resending the request.
      curl_easy_setopt(easy_, CURLOPT_READFUNCTION, &HttpTransfer::OnRead);
      curl_easy_setopt(easy_, CURLOPT_READDATA, this);
    } else {
      curl_easy_setopt(easy_, CURLOPT_POSTFIELDS, call_.body.data());
    }
  } else if (call_.method == "HEAD") {
    curl_easy_setopt(easy_, CURLOPT_NOBODY, 1L);
  }
  curl_easy_setopt(easy_, CURLOPT_CUSTOMREQUEST, call_.method.c_str());
}

void HttpTransfer::SetHeaders() {
  // Suppresses the fields that libcurl adds by default, unless the call sets
  // them.
  curl_slist* list = curl_slist_append(nullptr, "Expect:");
  for (const char* name : {"Accept", "Content-Type", "User-Agent"}) {
    if (call_.headers.Get(name).empty()) {
      list = curl_slist_append(list, (std::string(name) + ":").c_str());
    }
  }
  for (const HttpHeader& field : call_.headers.fields()) {
    // libcurl expects a field without a value to end in a semicolon.
    std::string line = field.value.empty() ? field.name + ";"
                                           : field.name + ": " + field.value;
    list = curl_slist_append(list, line.c_str());
  }
  header_list_ = list;
  curl_easy_setopt(easy_, CURLOPT_HTTPHEADER, list);
}

size_t HttpTransfer::OnRead(char* buffer, size_t size, size_t count,
                            void* user_data) {
  auto* transfer = static_cast<HttpTransfer*>(user_data);
  const std::string& body = transfer->call_.body;
  size_t bytes =
      std::min(size * count, body.size() - transfer->body_bytes_sent_);
  std::copy_n(body.data() + transfer->body_bytes_sent_, bytes, buffer);
  transfer->body_bytes_sent_ += bytes;
  return bytes;
}

}  // namespace bilberrypitch
