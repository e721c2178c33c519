// Responds to followers, which take changes of the store from this instance.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <vector>

#include "gateway/value_packing.h"
#include "serving/follower_queries.h"
#include "transport/http_message.h"
#include "transport/timer.h"

namespace bilberrypitch {

class EventLoop;
class Responder;
class StoreFollower;
class StoreView;

// The HTTP side of FollowerQueries. The pointers passed to the constructor must
// outlive the service. Must be used on the event loop's thread only.
class ReaderService {
 public:
  ReaderService(EventLoop* loop, const StoreView* view,
                StoreFollower* follower);
  ~ReaderService();

  void OnQuery(const HttpRequest& request,
               std::shared_ptr<Responder> responder);
  // The view contains what the last call returned.
  void OnViewUpdated();
  // The store did not respond to this instance.
  void OnStoreFailure();
  // Rejects all queries from now on.
  void Stop();

 private:
  struct HeldResponder {
    std::shared_ptr<Responder> responder;
    bool takes_packed = false;  // The follower unpacks values.
  };

  void Send(const std::vector<FollowerQueries::Response>& responses);
  void SendDueResponses();

  StoreFollower* const follower_;
  FollowerQueries queries_;
  // Of the held queries, by their id.
  std::map<uint64_t, HeldResponder> responders_;
  PackedValueCache packed_values_;
  uint64_t last_query_id_ = 0;
  bool stopped_ = false;
  Timer timer_;
};

}  // namespace bilberrypitch
