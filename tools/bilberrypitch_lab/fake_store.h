// A fake of the platform's store: items with revisions and leases, reads by
// page, a watch with a bounded history, conditional writes, and faults, one of
// them the return from an earlier copy.
#pragma once

#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "lab_server.h"
#include "transport/event_loop.h"
#include "transport/timer.h"

namespace bilberrypitch::lab {

// Lives on the thread of its event loop. The operator and the upstreams write
// through POST /lab/write and /lab/remove, which work during every fault. POST
// /lab/faults sets the members of Faults; with `take_copy` it keeps a copy of
// the data, and with `restore_copy` it goes back to that copy. GET /lab/facts
// returns the number of calls and the keys.
class FakeStore {
 public:
  FakeStore(EventLoop* loop, uint16_t port);
  ~FakeStore();

 private:
  struct Item {
    std::string key;
    std::string value;  // In base64, as received.
    int64_t revision = 0;
    int64_t created = 0;
    int64_t lease = 0;
    bool deleted = false;
  };
  struct Lease {
    Millis time_to_live;
    Millis expires_at;
  };
  // What a copy contains.
  struct Data {
    std::map<std::string, Item> items;
    std::deque<Item> history;  // Ordered by revision.
    int64_t revision = 1;
    int64_t compacted_revision = 0;  // Watches from before it get a 410.
    std::map<int64_t, Lease> leases;
    int64_t next_lease = 1;
  };
  struct Watcher {
    std::string prefix;
    int64_t after_revision = 0;
    Millis expires_at;
    std::shared_ptr<Responder> responder;
  };
  struct Faults {
    bool silent = false;      // Calls get no response and have no effect.
    bool refuses = false;     // Calls get a 503 and have no effect.
    Millis response_delay;    // Before each response.
    int64_t lose_writes = 0;  // Number of writes executed without a response.
  };
  struct CallCounts {
    int64_t reads = 0;
    int64_t writes = 0;
    int64_t watches = 0;
    int64_t lease_calls = 0;
  };

  void HandleRequest(HttpRequest request, std::shared_ptr<Responder> responder);
  bool HandleControl(const HttpRequest& request, Responder* responder);
  void HandleStoreCall(const HttpRequest& request,
                       std::shared_ptr<Responder> responder);
  void Watch(const HttpRequest& request, std::shared_ptr<Responder> responder);
  HttpResponse ReadKey(const HttpRequest& request) const;
  HttpResponse ReadPage(const HttpRequest& request) const;
  HttpResponse CommitTransaction(const HttpRequest& request);
  HttpResponse GrantLease(const HttpRequest& request);
  HttpResponse RenewLease(int64_t id);
  HttpResponse RevokeLease(int64_t id);
  void SetFaults(const json::object& object);
  // Loses what was written since the copy was taken. Revisions and ids of
  // leases are given out again.
  void RestoreCopy();
  json::object StatsJson() const;

  void Put(const std::string& key, std::string value, int64_t lease);
  void Remove(const std::string& key);
  void RemoveLease(int64_t id);
  void AppendToHistory(Item item);
  // Returns no value while there are no events.
  std::optional<HttpResponse> EventsFor(const Watcher& watcher) const;
  void NotifyWatchers();
  void Tick();
  void SendResponse(std::shared_ptr<Responder> responder,
                    HttpResponse response);

  EventLoop* const loop_;
  Data data_;
  Data copy_;
  int64_t era_ = 0;  // Number of returns from a copy.
  std::list<Watcher> watchers_;
  Faults faults_;
  CallCounts counts_;
  // Kept because a destroyed responder sends a 500.
  std::list<std::shared_ptr<Responder>> unanswered_;
  std::list<std::unique_ptr<Timer>> delay_timers_;
  Timer tick_timer_;
  std::unique_ptr<HttpServer> server_;
};

}  // namespace bilberrypitch::lab
