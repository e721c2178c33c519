// A decoded request, and what the gateway reads from an upstream's response.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "serving/ids.h"
#include "transport/http_message.h"

namespace bilberrypitch {

// A segment of a prompt that other requests may share, so that its KV cache can
// be reused.
struct PromptPart {
  uint64_t id = 0;
  int64_t tokens = 0;
};

// Independent of the API and the wire format on which the request arrived.
struct ServingRequest {
  RequestId id;  // As given by the caller; empty if none.
  std::string method;
  std::string host;
  std::string target;  // Path and query as received.
  std::string path;
  HttpHeaders headers;  // To forward, without hop-by-hop fields.
  std::string body;
  std::string api_key;            // Empty: none was given.
  std::optional<Millis> timeout;  // How long the caller waits.
  ModelRef model;                 // Empty for services without models.
  int64_t prompt_tokens = 0;
  int64_t max_output_tokens = 0;
  bool has_token_counts = false;       // False: both counts above are unknown.
  int64_t expected_output_tokens = 0;  // The caller's estimate; 0: none.
  std::vector<PromptPart> prompt_parts;
  // The id of the attempt that brought the first event of the stream that this
  // request takes up; empty: not stated.
  RequestId resumed_request;
  std::string last_event_id;  // Set when the caller resumes a stream.
};

// What is sent to the upstream in addition to the request itself.
struct UpstreamCallOptions {
  UpstreamId upstream;
  WorkspaceId workspace;           // Empty on routes that require no key.
  Millis time_left;                // Until the deadline of the request.
  std::optional<int> priority;     // 0 (highest) to 9.
  int64_t minimum_version = 0;     // Of the adapter; 0: any.
  std::string resume_after_event;  // Event id; empty: from the beginning.
};

// Load of an upstream, as reported in its responses.
struct UpstreamLoadReport {
  uint32_t running = 0;
  uint32_t waiting = 0;
  uint32_t slots = 0;  // Requests that it can run at once.
  // How long work takes there now, as a multiple of the usual time; empty: not
  // stated.
  std::optional<double> slowdown;
};

// What the head of an upstream's response says.
struct ResponseInfo {
  bool names_request = false;        // By its id.
  bool names_other_request = false;  // Otherwise it names none, or this one.
  bool not_run = false;  // The upstream states that it did not run it.
  bool has_signature = false;
  bool has_encoded_body = false;  // In an encoding that nobody asked for.
  bool closes_connection = false;
  bool states_leaving = false;  // The upstream takes no new requests.
  std::optional<UpstreamLoadReport> load;
  // Requests a second that the upstream takes from all instances together.
  std::optional<double> rate_limit_per_s;
  // Rejections a second, over all instances, at which it fails; empty: it says
  // nothing of it.
  std::optional<double> bearable_rejections_per_s;
  int idle_timeout_s = 0;  // Of idle connections; 0: not stated.
  HttpHeaders forward;     // Fields to forward to the caller.
};

}  // namespace bilberrypitch
