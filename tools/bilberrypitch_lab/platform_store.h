// A stand-in for the platform's key-value service, as the published JSON
// gateway of etcd v3 speaks: range, txn, put, lease and watch.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "lab_server.h"

namespace bilberrypitch::schema::store {
class RangeRequest;
class RangeResponse;
class TxnRequest;
class TxnResponse;
class Compare;
class RequestOp;
class ResponseOp;
class PutRequest;
class DeleteRangeRequest;
}  // namespace bilberrypitch::schema::store

namespace bilberrypitch::lab {

// POST /lab/faults sets `out` (no call is answered in time), `delay_ms` and
// `lose_writes` (the next N transactions take effect and their answer is
// lost). GET /lab/facts counts calls.
class PlatformStore {
 public:
  explicit PlatformStore(uint16_t port);
  ~PlatformStore();

 private:
  struct Entry {
    std::string value;
    int64_t create_revision = 0;
    int64_t mod_revision = 0;
    int64_t lease = 0;
  };
  struct Watcher {
    std::string key;
    std::shared_ptr<Responder> responder;
    std::shared_ptr<std::atomic<bool>> gone;
  };
  struct Counts {
    int64_t reads = 0;
    int64_t writes = 0;
    int64_t leases = 0;
    int64_t watches = 0;
  };

  void Handle(HttpRequest request, std::shared_ptr<Responder> responder);
  bool HandleLab(const HttpRequest& request, Responder& responder);
  void Serve(const HttpRequest& request, std::shared_ptr<Responder> responder);
  void Range(const schema::store::RangeRequest& request,
             schema::store::RangeResponse* response);
  bool Holds(const schema::store::Compare& compare) const;
  void Txn(const schema::store::TxnRequest& request,
           schema::store::TxnResponse* response);
  void Apply(const schema::store::RequestOp& op,
             schema::store::ResponseOp* response);
  void Put(const schema::store::PutRequest& request);
  int64_t Delete(const schema::store::DeleteRangeRequest& request);
  void Notify(const std::string& key);
  void ExpireLeases();
  void Loop();

  std::mutex lock_;  // Guards all below but the thread.
  std::map<std::string, Entry> entries_;
  int64_t revision_ = 1;
  std::map<int64_t, int64_t> lease_ends_ms_;
  std::map<int64_t, int64_t> lease_lengths_ms_;
  int64_t next_lease_ = 1;
  std::vector<Watcher> watchers_;
  Counts counts_;
  bool out_ = false;
  int64_t delay_ms_ = 0;
  int64_t lose_writes_ = 0;
  bool stopping_ = false;
  // Requests that an outage leaves unanswered.
  std::vector<std::shared_ptr<Responder>> unanswered_;
  std::thread thread_;
  std::unique_ptr<HttpServer> server_;
};

}  // namespace bilberrypitch::lab
