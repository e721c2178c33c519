// Writes the response to one request to its connection, with exactly one
// framing, or none where HTTP has none for the method, status or version.
#pragma once

#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <restinio/all.hpp>
#include <string>

#include "connection_account.h"
#include "framed_output.h"
#include "request_inspector.h"
#include "transport/http_message.h"
#include "transport/responder.h"
#include "transport/write_queue.h"

namespace bilberrypitch {

// Held until the response is written, or can't be.
struct WriteTokens {
  WriteToken server;
  WriteToken connection;
  std::shared_ptr<void> held;    // What the request takes of the budget.
  std::shared_ptr<void> unread;  // What its response does, sent as a whole.
};

class RestinioResponder
    : public Responder,
      public std::enable_shared_from_this<RestinioResponder> {
 public:
  // `may_close`: whether no other request of the connection waits.
  // `on_responded`: the response has ended; `closes`: it closes the connection.
  RestinioResponder(restinio::request_handle_t request, bool is_http_1_0,
                    WriteTokens tokens,
                    std::shared_ptr<ConnectionAccount> account,
                    std::function<bool()> may_close,
                    std::function<void(bool closes)> on_responded);
  ~RestinioResponder() override;

  void Send(HttpResponse response) override;
  // Sends a complete response and drops what follows on the connection.
  void SendAndClose(HttpResponse response);
  void StartStream(int status, const HttpHeaders& headers) override;
  void Write(std::string data) override;
  size_t unwritten_bytes() const override;
  void OnceWritten(std::function<void()> done) override;
  void EndStream() override;
  void AbortStream() override;

 private:
  using Output = restinio::response_builder_t<FramedOutput>;

  void SendWhole(HttpResponse response, bool closes);
  Output MakeOutput(int status, const HttpHeaders& headers) const;
  // Whether the response to the request can have a body.
  bool MayHaveBody(int status) const;
  bool IsHead() const;
  // Whether the connection reads no further requests.
  bool IsLastRequest() const;
  std::string FramedPart(const std::string& data) const;
  void StartWrite(const std::string& data);
  void OnWritten(bool ok);
  void CloseStream(const std::string& last_bytes);
  void Collect(const std::string& data);
  void SendCollected();
  // Counts the bytes of the response that are kept here.
  void CountUnread(size_t bytes);

  // RESTinio may report a failed write from within the call that starts it.
  mutable std::recursive_mutex lock_;
  restinio::request_handle_t request_;  // Null once a response has started.
  const bool is_http_1_0_;
  std::unique_ptr<Output> stream_;  // Set while a stream is open.
  bool stream_has_body_ = true;
  WriteQueue queue_;  // Of the stream.
  // A stream to a caller that knows no chunks. It is sent whole, with a length,
  // as the end of the connection alone would let a broken stream look complete.
  std::optional<HttpResponse> collected_;
  WriteTokens write_tokens_;
  const std::shared_ptr<ConnectionAccount> account_;  // May be null.
  size_t counted_unread_ = 0;
  const std::function<bool()> may_close_;
  const std::function<void(bool closes)> on_responded_;
  std::function<void()> on_all_written_;
};

}  // namespace bilberrypitch
