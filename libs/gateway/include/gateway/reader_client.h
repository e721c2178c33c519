// Queries another instance for changes of the store.
#pragma once

#include <functional>
#include <optional>
#include <string>

#include "serving/store_call.h"
#include "serving/store_follower.h"

namespace bilberrypitch {

class EventLoopHttpClient;

// Path of the query on the address for peers.
inline constexpr char kChangesPath[] = "/changes";

// `client` must outlive the object. Must be used on the event loop's thread
// only.
class ReaderClient {
 public:
  // Without changes, `failure` says why there are none.
  struct Result {
    std::optional<StoreChanges> changes;
    StoreFollower::ReaderFailure failure =
        StoreFollower::ReaderFailure::kNoResponse;
  };

  explicit ReaderClient(EventLoopHttpClient* client) : client_(client) {}

  // Asks the instance at `address` for the changes that `call` wants. `done` is
  // called once.
  void Query(const std::string& address, const StoreCall& call,
             std::function<void(Result)> done);

 private:
  EventLoopHttpClient* const client_;
};

}  // namespace bilberrypitch
