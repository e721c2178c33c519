// One request as the core sees it, and what an upstream's answer says.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "serving/ids.h"
#include "transport/http_message.h"

namespace bilberrypitch {

// A part of a prompt that other requests may share.
struct PromptPart {
  uint64_t id = 0;
  int64_t tokens = 0;
};

struct ServingRequest {
  RequestId id;  // As the caller named it; empty when it did not.
  std::string method;
  std::string host;
  std::string target;  // Path and query as sent.
  std::string path;
  HttpHeaders headers;  // To forward: without what concerns one connection.
  std::string body;
  std::string api_key;            // Empty: none was shown.
  std::optional<Millis> timeout;  // How long the caller waits.
  ModelRef model;                 // Empty on plain services.
  int64_t prompt_tokens = 0;
  int64_t max_output_tokens = 0;  // At most.
  bool has_token_counts = false;
  int64_t expected_output_tokens = 0;  // The caller's estimate; 0: none.
  std::vector<PromptPart> prompt_parts;
  std::string last_event_id;  // Set when the caller resumes a stream.
};

// What is told to the upstream beside the request itself.
struct UpstreamCallOptions {
  UpstreamId upstream;
  WorkspaceId workspace;  // Empty on routes without a key.
  Millis time_left;
  std::optional<int> priority;     // 0 (first) to 9.
  int64_t minimum_version = 0;     // Of the adapter; 0: any.
  std::string resume_after_event;  // Empty: from the beginning.
};

// How full an upstream said it is.
struct UpstreamLoadReport {
  uint32_t running = 0;
  uint32_t waiting = 0;
  uint32_t slots = 0;
};

struct ResponseInfo {
  bool matches_request = false;  // It names the request that was sent.
  bool not_run = false;          // The upstream states that it did not run.
  bool has_signature = false;
  bool closes_connection = false;
  std::optional<UpstreamLoadReport> load;
  int idle_timeout_s = 0;  // How long an idle connection is kept; 0: not said.
  HttpHeaders forward;     // What the caller gets.
};

}  // namespace bilberrypitch
