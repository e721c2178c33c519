// The answering side of one request.
#pragma once

#include <functional>
#include <string>

#include "transport/http_message.h"

namespace bilberrypitch {

// Owned by whoever answers; dropped unanswered, it answers 500. Any thread may
// call it, one call at a time in the order of the answer.
class Responder {
 public:
  virtual ~Responder() = default;
  // Answers whole. Not after StartStream.
  virtual void Send(HttpResponse response) = 0;
  // Starts a chunked answer.
  virtual void StartStream(int status, const HttpHeaders& headers) = 0;
  // `written` (may be empty) is called once, from any thread, with false when
  // the caller is gone.
  virtual void WriteChunk(std::string data,
                          std::function<void(bool)> written) = 0;
  virtual void EndStream() = 0;
  // Ends the connection without the end of the answer, so that the caller sees
  // that the answer is not whole.
  virtual void AbortStream() = 0;
};

}  // namespace bilberrypitch
