// Checks settings and fills in defaults.
#include "config/settings.h"

#include "base/log.h"
#include "schema/settings.pb.h"

namespace bilberrypitch {
namespace {

constexpr uint32_t kThreads = 2;
constexpr uint32_t kRequestMs = 120 * 1000;
constexpr uint32_t kQueueMs = 10 * 1000;
constexpr uint32_t kFirstByteMs = 30 * 1000;
constexpr uint32_t kProgressMs = 10 * 1000;
constexpr uint32_t kConnectMs = 1000;
constexpr uint32_t kStoreMs = 1000;
constexpr uint32_t kDrainMs = 120 * 1000;
constexpr uint32_t kBodyBytes = 1 << 20;
constexpr uint32_t kHeaderBytes = 16 << 10;
constexpr uint32_t kQueueLength = 2000;
constexpr uint32_t kStreamBacklogBytes = 256 << 10;

void FillDeadlines(schema::Deadlines* it) {
  if (!it->has_request_ms()) it->set_request_ms(kRequestMs);
  if (!it->has_queue_ms()) it->set_queue_ms(kQueueMs);
  if (!it->has_first_byte_ms()) it->set_first_byte_ms(kFirstByteMs);
  if (!it->has_progress_ms()) it->set_progress_ms(kProgressMs);
  if (!it->has_connect_ms()) it->set_connect_ms(kConnectMs);
  if (!it->has_store_ms()) it->set_store_ms(kStoreMs);
  if (!it->has_drain_ms()) it->set_drain_ms(kDrainMs);
}

void FillSizes(schema::Sizes* it) {
  if (!it->has_body_bytes()) it->set_body_bytes(kBodyBytes);
  if (!it->has_header_bytes()) it->set_header_bytes(kHeaderBytes);
  if (!it->has_queue_length()) it->set_queue_length(kQueueLength);
  if (!it->has_stream_backlog_bytes()) {
    it->set_stream_backlog_bytes(kStreamBacklogBytes);
  }
}

bool PortsDiffer(const schema::Settings& it) {
  return it.caller_port() != it.operator_port() &&
         it.caller_port() != it.peer_port() &&
         it.operator_port() != it.peer_port();
}

}  // namespace

std::vector<FieldError> ReadSettings(std::string_view text,
                                     schema::Settings* settings) {
  std::vector<FieldError> errors = ReadJson(text, settings);
  if (!settings->has_threads()) settings->set_threads(kThreads);
  if (!settings->has_log_level()) settings->set_log_level("info");
  if (!settings->has_policy()) settings->set_policy(kStandardPolicy);
  FillDeadlines(settings->mutable_deadlines());
  FillSizes(settings->mutable_sizes());
  LogLevel level;
  if (!ParseLogLevel(settings->log_level(), &level)) {
    errors.push_back(
        {"log_level", "must be one of debug, info, warning, error"});
  }
  if (settings->policy() != kStandardPolicy &&
      settings->policy() != kBaselinePolicy) {
    errors.push_back({"policy", "must be standard or baseline"});
  }
  if (errors.empty() && !PortsDiffer(*settings)) {
    errors.push_back({"caller_port", "ports must differ from each other"});
  }
  return errors;
}

}  // namespace bilberrypitch
