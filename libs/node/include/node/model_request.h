// One caller's request to a model, from admission to the end of its answer.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <string>

#include "base/error.h"
#include "base/json.h"
#include "base/strong.h"
#include "config/catalog.h"
#include "dispatch/quarantine.h"
#include "dispatch/retry_policy.h"
#include "residency/residency_holder.h"
#include "transport/http_client.h"
#include "transport/responder.h"
#include "transport/sse.h"

namespace bilberrypitch {

// What was decided at admission, from one generation of the document.
struct ModelRequestFacts {
  RequestId id;
  std::string key_id;
  WorkspaceId workspace;
  double weight = 1;
  ResolvedAdapter adapter;
  std::string model;  // As the caller named it.
  std::string path;
  json::object body;
  bool stream = false;
  int priority = 0;
  double prompt_tokens = 0;
  double most_output_tokens = 0;
  uint64_t affinity = 0;  // Hash of the prompt's beginning.
  Fingerprint fingerprint;
  Millis admitted;
  Millis deadline;  // Of the whole request.

  double cost() const { return prompt_tokens + most_output_tokens; }
};

// How one attempt at an engine ended.
struct AttemptEnd {
  bool answered = false;     // The caller has the whole answer.
  bool caller_gone = false;  // Or was told why it ends early.
  bool not_loaded = false;   // The engine does not know the name.
  CallResult result = CallResult::kComplete;
  AttemptFailure failure = AttemptFailure::kBroken;
  double output_tokens = 0;
};

// Thread-safe. Lives until its answer has ended; shared by the queue and the
// call in progress.
class ModelRequest : public std::enable_shared_from_this<ModelRequest> {
 public:
  using Done = std::function<void(std::shared_ptr<ModelRequest>, AttemptEnd)>;

  ModelRequest(ModelRequestFacts facts, std::shared_ptr<Responder> responder,
               size_t most_backlog_bytes);

  const ModelRequestFacts& facts() const { return facts_; }
  // Sends one attempt. `done` is called once, on a worker thread.
  void Start(HttpClient* client, const std::string& address,
             const ResidencyCandidate& candidate, CallDeadlines deadlines,
             bool fresh_connection, Done done);
  // Ends the request with an error, also in the middle of a stream.
  void Fail(const Error& error);
  // Ends it with an error wherever it is; the engine's stream is cancelled.
  void Abort(HttpClient* client, const Error& error);
  bool ended() const;

  // Used by the dispatcher under the lock of the request's shard.
  struct Stall {
    bool begun = false;
    bool ended = false;
  };
  mutable Stall stall;
  int attempts = 0;
  bool ran_before = false;
  bool fresh_connection = false;
  bool lacked_tokens = false;

 private:
  struct Attempt {
    IncarnationId name;
    SseSplitter splitter;
    bool saw_done = false;
    bool wrong = false;
    double output_tokens = 0;
  };

  bool OnData(std::string_view bytes);
  bool OnEvent(std::string_view event);
  AttemptEnd Judge(const CallOutcome& outcome);
  AttemptEnd JudgeWhole(const CallOutcome& outcome);
  void WriteEvent(std::string text);
  std::string AttemptBody(const IncarnationId& name) const;

  const ModelRequestFacts facts_;
  const size_t most_backlog_bytes_;
  mutable std::mutex lock_;               // Guards all below.
  std::shared_ptr<Responder> responder_;  // Null once the answer has ended.
  bool streaming_ = false;
  Attempt attempt_;
  CallId call_ = 0;
  bool caller_gone_ = false;
  bool slow_ = false;
  std::shared_ptr<std::atomic<int64_t>> backlog_;
  std::shared_ptr<std::atomic<bool>> gone_;
};

}  // namespace bilberrypitch
