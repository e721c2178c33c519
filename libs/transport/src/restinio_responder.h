// Writes the response to one request to its connection, with exactly one
// framing, or none where HTTP has none for the method or status.
#pragma once

#include <functional>
#include <memory>
#include <mutex>
#include <restinio/all.hpp>
#include <string>

#include "framed_output.h"
#include "transport/http_message.h"
#include "transport/responder.h"
#include "transport/write_queue.h"

namespace bilberrypitch {

// Held for each request until its response is written, or can't be. The server
// holds one more.
using WriteToken = std::shared_ptr<const bool>;

class RestinioResponder
    : public Responder,
      public std::enable_shared_from_this<RestinioResponder> {
 public:
  // `may_close`: whether no other request of the connection waits.
  // `on_responded`: the response has ended; `closes`: it closes the connection.
  RestinioResponder(restinio::request_handle_t request, WriteToken token,
                    std::function<bool()> may_close,
                    std::function<void(bool closes)> on_responded);
  ~RestinioResponder() override;

  void Send(HttpResponse response) override;
  void StartStream(int status, const HttpHeaders& headers) override;
  void Write(std::string data) override;
  size_t unwritten_bytes() const override;
  void OnceWritten(std::function<void()> done) override;
  void EndStream() override;
  void AbortStream() override;

 private:
  using Output = restinio::response_builder_t<FramedOutput>;

  Output MakeOutput(int status, const HttpHeaders& headers) const;
  // Whether the response to the request can have a body.
  bool MayHaveBody(int status) const;
  bool IsHead() const;
  std::string FramedPart(const std::string& data) const;
  void StartWrite(const std::string& data);
  void OnWritten(bool ok);
  void CloseStream(const std::string& last_bytes);

  // RESTinio may report a failed write from within the call that starts it.
  mutable std::recursive_mutex lock_;
  restinio::request_handle_t request_;  // Null once a response has started.
  std::unique_ptr<Output> stream_;      // Set while a stream is open.
  bool stream_has_body_ = true;
  WriteQueue queue_;  // Of the stream.
  WriteToken write_token_;
  const std::function<bool()> may_close_;
  const std::function<void(bool closes)> on_responded_;
  std::function<void()> on_all_written_;
};

}  // namespace bilberrypitch
