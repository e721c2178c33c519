// Keeps the knowledge of the store fresh through peers while the store itself
// stays silent to this instance.
//
// A peer's word counts from the moment at which it was asked for: an answer
// says how old the peer's knowledge is and which configuration it is about.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>

#include "serving/ids.h"
#include "serving/store_item.h"
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

// On the loop's thread only.
class FreshnessService {
 public:
  // `take` gets each item that a peer knows in a newer form.
  FreshnessService(EventLoop* loop, EventLoopHttpClient* client,
                   PeerMessenger* peers, StoreSync* sync, Freshness* freshness,
                   Millis ask_from_age,
                   std::function<void(const StoreItem&)> take);

  // What others wrote into the store, to hand on to peers.
  void CacheItem(const StoreItem& item);
  void RemoveCachedItem(const std::string& key);
  // A configuration of this revision of the store was seen.
  void OnConfigRevision(int64_t revision);

  // The sender need not be a member: its record may have lapsed.
  void OnQuery(const schema::FreshnessQuestion& question);
  void OnQueryResponse(const MachineId& from,
                       const schema::FreshnessAnswer& answer);
  // A peer's call for all that is known here.
  HttpResponse OnStateRequest(const HttpRequest& request);

 private:
  void Watch();
  void Ask(Millis now);
  void Fetch(const MachineId& from);
  void OnState(const schema::KnownState& known, Millis asked);

  EventLoopHttpClient* const client_;
  PeerMessenger* const peers_;
  StoreSync* const sync_;
  Freshness* const freshness_;
  const Millis ask_from_age_;
  const std::function<void(const StoreItem&)> take_;
  std::map<std::string, StoreItem> known_;
  int64_t config_revision_ = 0;  // 0: none known.
  int64_t peer_revision_ = 0;    // Up to which a peer's state was taken.
  uint64_t question_ = 0;        // Nonce of the last question.
  Millis question_sent_;
  Millis next_fetch_;
  Timer timer_;
};

}  // namespace bilberrypitch
