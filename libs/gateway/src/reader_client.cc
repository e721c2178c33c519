// The HTTP call to a reader.
#include "gateway/reader_client.h"

#include <fmt/format.h>

#include "base/log.h"
#include "gateway/known_items.h"
#include "transport/event_loop.h"
#include "transport/event_loop_http_client.h"

namespace bilberrypitch {
namespace {

constexpr int kOkStatus = 200;
constexpr int kServiceUnavailableStatus = 503;
// Allowed for the begin of a response in addition to the time that the reader
// holds the query, and for a pause in it.
constexpr Millis kResponseTime{250};
// Allowed for the whole of a response that keeps coming. It may hold a large
// configuration, for which the store would take no less time.
constexpr Millis kTransferTime{1500};

ReaderClient::Result DecodeResult(const CallOutcome& outcome) {
  ReaderClient::Result result;
  if (outcome.result != CallResult::kComplete) {
    return result;
  }
  if (outcome.status == kServiceUnavailableStatus) {
    result.failure = StoreFollower::ReaderFailure::kNotCurrent;
    return result;
  }
  if (outcome.status == kOkStatus) {
    result.changes = DecodeChanges(outcome.body);
  }
  if (!result.changes) {
    LogWarning("store", "A reader's response is invalid, status={}.",
               outcome.status);
  }
  return result;
}

}  // namespace

void ReaderClient::Query(const std::string& address, const StoreCall& call,
                         std::function<void(Result)> done) {
  HttpCall query;
  query.address = address;
  query.target = fmt::format("{}?after={}&era={}&hold_ms={}&packed=1",
                             kChangesPath, call.revision.number,
                             call.revision.era, call.timeout.count());
  query.timeouts.connect = kResponseTime;
  query.timeouts.first_byte = call.timeout + kResponseTime;
  query.timeouts.idle = kResponseTime;
  query.timeouts.total = call.timeout + kTransferTime;
  query.on_done = [done = std::move(done), address,
                   sent_at = EventLoop::Now()](const CallOutcome& outcome) {
    if (outcome.result != CallResult::kComplete) {
      LogInfo("store", "A reader gave no response address={} ms={} bytes={}.",
              address, (EventLoop::Now() - sent_at).count(),
              outcome.body.size());
    }
    done(DecodeResult(outcome));
  };
  client_->Start(std::move(query));
}

}  // namespace bilberrypitch
