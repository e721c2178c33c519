// The queries of followers that this instance holds as a reader.
//
// A query gets a response as soon as there is a change for it, when its time is
// over, and when this instance's own view is no longer current. An instance
// whose view is not current yet, because it watches the store only since it was
// queried, holds a query in the meantime. A follower that knows of a later era
// of the store is rejected at once.
//
// No I/O: the calling code sends the responses.
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "serving/store_call.h"
#include "serving/store_revision.h"

namespace bilberrypitch {

class StoreFollower;
class StoreView;

// Not thread-safe.
class FollowerQueries {
 public:
  struct Response {
    uint64_t query_id = 0;
    // No value: this instance's view is not current.
    std::optional<StoreChanges> changes;
  };

  // The pointers must outlive the object.
  FollowerQueries(const StoreView* view, const StoreFollower* follower)
      : view_(view), follower_(follower) {}

  // A query for changes after `after_revision` arrived, to be held for at most
  // `hold`.
  void Add(uint64_t query_id, StoreRevision after_revision, Millis hold,
           Millis now);
  // Returns the responses to send now.
  std::vector<Response> TakeResponses(Millis now);
  // Rejects all queries.
  std::vector<Response> RejectAll();
  // Returns when TakeResponses has to be called although the view does not
  // change; zero: no query is held.
  Millis NextDue() const;
  size_t size() const { return queries_.size(); }

 private:
  struct Query {
    uint64_t id = 0;
    StoreRevision after_revision;
    Millis arrived_at;
    Millis due;
    bool was_current = false;  // The view was current while it was held.
  };

  // Whether the follower knows of a later era of the store than this instance.
  bool IsAhead(const Query& query) const;
  bool HasChangesFor(const Query& query) const;
  Response ResponseTo(const Query& query, Millis now) const;

  const StoreView* const view_;
  const StoreFollower* const follower_;
  std::vector<Query> queries_;
};

}  // namespace bilberrypitch
