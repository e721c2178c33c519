// Keeps this instance's view of the store fresh through its peers while the
// store itself does not respond to this instance.
//
// A peer's response carries the age of the peer's view of the store and the
// revision of its configuration. The age counts from when this instance sent
// the query, because the response may have been produced at any time after
// that.
#pragma once

#include <cstddef>
#include <cstdint>

#include "gateway/value_packing.h"
#include "serving/ids.h"
#include "serving/store_revision.h"
#include "transport/http_message.h"
#include "transport/timer.h"

namespace bilberrypitch {

class EventLoop;
class Freshness;
class EventLoopHttpClient;
class PeerMessenger;
class StoreSync;
namespace schema {
class FreshnessAnswer;
class FreshnessQuestion;
class KnownState;
}  // namespace schema

// Queries the peers while the view is older than `query_from_age` or was never
// confirmed, and fetches the state of a peer that has newer records. The
// pointers passed to the constructor must outlive the service. Must be used on
// the event loop's thread only.
class FreshnessService {
 public:
  FreshnessService(EventLoop* loop, EventLoopHttpClient* client,
                   PeerMessenger* peers, StoreSync* sync, Freshness* freshness,
                   Millis query_from_age);

  // A configuration record of this store revision was seen.
  void OnConfigRevision(StoreRevision revision);

  // Asks other instances whether they have seen an outage of the store. Returns
  // false if there are none.
  bool AskForOutage();

  // The sender need not be a member: its record may have expired.
  void OnQuery(const schema::FreshnessQuestion& query);
  void OnQueryResponse(const MachineId& from,
                       const schema::FreshnessAnswer& response);
  // Responds to a peer's HTTP request for the records that others than the
  // instances wrote into the store.
  HttpResponse OnStateRequest(const HttpRequest& request);

 private:
  void CheckAge();
  void QueryPeers(size_t count, Millis now);
  void FetchState(const MachineId& from);
  void ApplyState(const schema::KnownState& state, Millis requested_at);

  EventLoopHttpClient* const client_;
  PeerMessenger* const peers_;
  StoreSync* const sync_;
  Freshness* const freshness_;
  const Millis query_from_age_;
  StoreRevision config_revision_;  // Default: none is known.
  // Highest store revision of an applied peer state.
  StoreRevision peer_revision_;
  PackedValueCache packed_values_;  // Of responses to peers.
  uint64_t query_nonce_ = 0;        // Of the last query.
  Millis query_sent_at_;
  Millis next_fetch_at_;
  Timer timer_;
};

}  // namespace bilberrypitch
