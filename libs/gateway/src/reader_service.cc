// Queries of followers over HTTP.
#include "gateway/reader_service.h"

#include <algorithm>
#include <charconv>
#include <optional>
#include <string_view>

#include "gateway/known_items.h"
#include "serving/store_follower.h"
#include "transport/event_loop.h"
#include "transport/responder.h"

namespace bilberrypitch {
namespace {

constexpr int kBadRequestStatus = 400;
constexpr int kServiceUnavailableStatus = 503;
constexpr int64_t kMaxHoldMs = 5000;

// Returns the non-negative number of `name` in a query string such as
// "after=1&hold_ms=2".
std::optional<int64_t> GetNumber(std::string_view query,
                                 std::string_view name) {
  while (!query.empty()) {
    std::string_view part = query.substr(0, query.find('&'));
    query.remove_prefix(std::min(query.size(), part.size() + 1));
    if (!part.starts_with(name) || part.substr(name.size(), 1) != "=") {
      continue;
    }
    std::string_view text = part.substr(name.size() + 1);
    int64_t number = 0;
    auto [end, ec] =
        std::from_chars(text.data(), text.data() + text.size(), number);
    bool valid = ec == std::errc() && end == text.data() + text.size();
    return valid && number >= 0 ? std::optional(number) : std::nullopt;
  }
  return std::nullopt;
}

void Reject(Responder* responder, int status) {
  HttpResponse response;
  response.status = status;
  responder->Send(std::move(response));
}

}  // namespace

ReaderService::ReaderService(EventLoop* loop, const StoreView* view,
                             StoreFollower* follower)
    : follower_(follower), queries_(view, follower), timer_(loop) {}

ReaderService::~ReaderService() = default;

void ReaderService::OnQuery(const HttpRequest& request,
                            std::shared_ptr<Responder> responder) {
  std::optional<int64_t> after = GetNumber(request.query, "after");
  int64_t era = GetNumber(request.query, "era").value_or(0);
  std::optional<int64_t> hold_ms = GetNumber(request.query, "hold_ms");
  if (!after || !hold_ms) {
    Reject(responder.get(), kBadRequestStatus);
    return;
  }
  if (stopped_ || follower_->unavailable()) {
    Reject(responder.get(), kServiceUnavailableStatus);
    return;
  }
  Millis now = EventLoop::Now();
  follower_->OnQueried(now);
  uint64_t id = ++last_query_id_;
  bool takes_packed = GetNumber(request.query, "packed").value_or(0) != 0;
  responders_[id] = {std::move(responder), takes_packed};
  queries_.Add(id, StoreRevision(era, *after),
               Millis(std::min(*hold_ms, kMaxHoldMs)), now);
  SendDueResponses();
}

void ReaderService::Send(
    const std::vector<FollowerQueries::Response>& responses) {
  for (const FollowerQueries::Response& item : responses) {
    auto node = responders_.extract(item.query_id);
    const HeldResponder& held = node.mapped();
    if (!item.changes) {
      Reject(held.responder.get(), kServiceUnavailableStatus);
      continue;
    }
    HttpResponse response;
    response.body = EncodeChanges(
        *item.changes, held.takes_packed ? &packed_values_ : nullptr);
    held.responder->Send(std::move(response));
  }
}

void ReaderService::SendDueResponses() {
  Millis now = EventLoop::Now();
  Send(queries_.TakeResponses(now));
  Millis due = queries_.NextDue();
  if (due != Millis(0)) {
    timer_.Start(std::max(Millis(1), due - now),
                 [this] { SendDueResponses(); });
  }
}

void ReaderService::OnViewUpdated() {
  if (queries_.size() > 0) {
    SendDueResponses();
  }
}

void ReaderService::OnStoreFailure() { Send(queries_.RejectAll()); }

void ReaderService::Stop() {
  stopped_ = true;
  Send(queries_.RejectAll());
}

}  // namespace bilberrypitch
