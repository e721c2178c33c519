// Decides when a held query gets its response, and which one.
#include "serving/follower_queries.h"

#include <algorithm>

#include "serving/store_follower.h"
#include "serving/store_view.h"

namespace bilberrypitch {

void FollowerQueries::Add(uint64_t query_id, StoreRevision after_revision,
                          Millis hold, Millis now) {
  queries_.push_back(
      {query_id, after_revision, now, now + hold, follower_->CanServe(now)});
}

bool FollowerQueries::IsAhead(const Query& query) const {
  return query.after_revision.era > view_->revision().era;
}

bool FollowerQueries::HasChangesFor(const Query& query) const {
  return !view_->HasChangesAfter(query.after_revision) ||
         view_->HasRelevantChangeAfter(query.after_revision);
}

FollowerQueries::Response FollowerQueries::ResponseTo(const Query& query,
                                                      Millis now) const {
  Response response;
  response.query_id = query.id;
  if (!follower_->CanServe(now) || IsAhead(query)) {
    return response;
  }
  StoreChanges changes;
  changes.complete = !view_->HasChangesAfter(query.after_revision);
  changes.items = changes.complete ? view_->AllItems()
                                   : view_->ChangesAfter(query.after_revision);
  changes.revision = view_->revision();
  changes.confirmed_after_arrival =
      follower_->confirmed_at() - query.arrived_at;
  changes.returns_for =
      std::max(Millis(0), follower_->ReturnDeadline(now) - now);
  response.changes = std::move(changes);
  return response;
}

std::vector<FollowerQueries::Response> FollowerQueries::TakeResponses(
    Millis now) {
  bool current = follower_->CanServe(now);
  std::vector<Response> responses;
  std::erase_if(queries_, [&](Query& query) {
    query.was_current = query.was_current || current;
    bool ready = now >= query.due || IsAhead(query) ||
                 (current ? HasChangesFor(query) : query.was_current);
    if (ready) {
      responses.push_back(ResponseTo(query, now));
    }
    return ready;
  });
  return responses;
}

std::vector<FollowerQueries::Response> FollowerQueries::RejectAll() {
  std::vector<Response> responses;
  for (const Query& query : queries_) {
    responses.push_back({query.id, std::nullopt});
  }
  queries_.clear();
  return responses;
}

Millis FollowerQueries::NextDue() const {
  Millis next;
  for (const Query& query : queries_) {
    Millis due = query.due;
    if (query.was_current) {
      due = std::min(due, follower_->ServesUntil() + Millis(1));
    }
    next = next == Millis(0) ? due : std::min(next, due);
  }
  return next;
}

}  // namespace bilberrypitch
