// The interface through which a server's handler responds to a request.
#pragma once

#include <cstddef>
#include <functional>
#include <string>

#include "transport/http_message.h"

namespace bilberrypitch {

// Sends the response to one request. Owned by the code that responds; if it is
// destroyed without a response, it sends status 500. May be called from any
// thread, but one call at a time and in the order of the response.
class Responder {
 public:
  virtual ~Responder() = default;
  // Sends a complete response. Must not be called after StartStream.
  virtual void Send(HttpResponse response) = 0;
  // Starts a response whose length is not known. A caller of HTTP/1.1 gets its
  // parts as they come, in chunks; one of HTTP/1.0 gets them whole at the end.
  virtual void StartStream(int status, const HttpHeaders& headers) = 0;
  // Sends a part of the stream. Parts that wait because the client reads slowly
  // are joined; nothing bounds their size but the caller of this function.
  virtual void Write(std::string data) = 0;
  // Bytes of the stream that the connection has not taken yet.
  virtual size_t unwritten_bytes() const = 0;
  // Calls `done` once, on any thread, when the connection has taken all bytes;
  // not if the client disconnects or the stream ends before. Replaces an
  // earlier callback.
  virtual void OnceWritten(std::function<void()> done) = 0;
  // Ends the stream with the final chunk.
  virtual void EndStream() = 0;
  // Closes the connection without the final chunk, so that the client notices
  // that the response is incomplete.
  virtual void AbortStream() = 0;
};

}  // namespace bilberrypitch
