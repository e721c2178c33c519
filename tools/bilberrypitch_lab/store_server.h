// A stand-in for the platform's store: items with revisions and leases, pages,
// a watch with a bounded history, conditional writes, and faults.
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

// POST /lab/write and /lab/remove are the operator's and the upstreams' own
// writes; they are served during every fault. POST /lab/faults sets what
// Faults names; GET /lab/facts counts calls and lists the keys.
class StoreServer {
 public:
  StoreServer(EventLoop* loop, uint16_t port);
  ~StoreServer();

 private:
  struct Item {
    std::string key;
    std::string value;  // As sent: base64.
    int64_t revision = 0;
    int64_t created = 0;
    int64_t lease = 0;
    bool deleted = false;
  };
  struct Lease {
    Millis time_to_live;
    Millis ends;
  };
  struct Watcher {
    std::string prefix;
    int64_t after = 0;
    Millis ends;
    std::shared_ptr<Responder> responder;
  };
  struct Faults {
    bool silent = false;      // Calls get no answer and have no effect.
    bool refuses = false;     // 503: nothing was done.
    Millis delay;             // Before each answer.
    int64_t lose_writes = 0;  // So many writes take effect without an answer.
  };
  struct Counts {
    int64_t reads = 0;
    int64_t writes = 0;
    int64_t watches = 0;
    int64_t lease_calls = 0;
  };

  void Handle(HttpRequest request, std::shared_ptr<Responder> responder);
  bool HandleLab(const HttpRequest& request, Responder* responder);
  void Serve(const HttpRequest& request, std::shared_ptr<Responder> responder);
  void Watch(const HttpRequest& request, std::shared_ptr<Responder> responder);
  HttpResponse ReadKey(const HttpRequest& request) const;
  HttpResponse ReadPage(const HttpRequest& request) const;
  HttpResponse Commit(const HttpRequest& request);
  HttpResponse GrantLease(const HttpRequest& request);
  HttpResponse RenewLease(int64_t id);
  HttpResponse EndLease(int64_t id);
  void SetFaults(const json::object& object);
  json::object FactsJson() const;

  void Put(const std::string& key, std::string value, int64_t lease);
  void Remove(const std::string& key);
  void RemoveLease(int64_t id);
  void Append(Item item);
  // None while nothing happened.
  std::optional<HttpResponse> EventsFor(const Watcher& it) const;
  void AnswerWatchers();
  void Tick();
  void Answer(std::shared_ptr<Responder> responder, HttpResponse response);

  EventLoop* const loop_;
  std::map<std::string, Item> items_;
  std::deque<Item> history_;  // Ordered by revision.
  int64_t revision_ = 1;
  int64_t oldest_ = 0;  // Watches from before this get 410.
  std::map<int64_t, Lease> leases_;
  int64_t next_lease_ = 1;
  std::list<Watcher> watchers_;
  Faults faults_;
  Counts counts_;
  // Dropped they would answer 500.
  std::list<std::shared_ptr<Responder>> unanswered_;
  std::list<std::unique_ptr<Timer>> delays_;
  Timer tick_;
  std::unique_ptr<HttpServer> server_;
};

}  // namespace bilberrypitch::lab
