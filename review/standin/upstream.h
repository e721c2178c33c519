// A stand-in of a server of a service without models: it registers in the
// store, runs a limited number of requests at once and rejects the others.
#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "fleet.h"
#include "net.h"

namespace review {

// What runs are counted over all servers: by request id.
class RunLog {
 public:
  void Add(const std::string& request_id, const std::string& server);
  std::vector<std::string> RunsOf(const std::string& request_id);
  std::map<std::string, std::vector<std::string>> All();

 private:
  std::mutex mutex_;
  std::map<std::string, std::vector<std::string>> runs_;
};

struct UpstreamOptions {
  std::string id;
  std::string service;
  std::string zone;
  int slots = 6;
  int work_ms = 30;
  int beat_ms = 1200;
  // Returns further fields of its entry, each with a leading comma.
  std::function<std::string()> entry_fields;
};

// One connection from an instance.
struct UpstreamConnection {
  Socket socket;
  std::string last_answer;  // The latest complete answer.
};

class Upstream {
 public:
  // Called with each request that isn't a call of the platform. It sends the
  // answer. Returns false to close the connection.
  using Handler = std::function<bool(Upstream*, UpstreamConnection*,
                                     const Message& request)>;

  Upstream(Fleet* fleet, UpstreamOptions options, Handler handler);
  ~Upstream();
  Upstream(const Upstream&) = delete;
  Upstream& operator=(const Upstream&) = delete;

  // Takes a slot; false if all are taken.
  bool TakeSlot();
  void FreeSlot();
  // Cuts its link to the store for some time: it can't renew its entry.
  void CutFromStore(int64_t ms) { cut_until_ms_ = NowMs() + ms; }
  const UpstreamOptions& options() const { return options_; }
  int64_t born_ms() const { return born_ms_; }
  int running() const { return running_; }
  // An answer with a length. `extra`: further header fields, each with its line
  // end.
  static std::string Answer(int status, const std::string& request_id,
                            const std::string& extra, const std::string& body);
  // A rejection that states that the request has not run.
  std::string Rejection(const std::string& request_id);
  // A signed answer.
  std::string Success(const std::string& request_id);

 private:
  void Accept();
  void Serve(int fd);
  void Beat();

  Fleet* const fleet_;
  const UpstreamOptions options_;
  const Handler handler_;
  const int64_t born_ms_;
  uint16_t port_ = 0;
  Socket listener_;
  std::atomic<int> running_ = 0;
  std::atomic<bool> stopping_ = false;
  std::atomic<int64_t> cut_until_ms_ = 0;
  std::mutex mutex_;
  std::set<int> open_fds_;
  std::vector<std::thread> threads_;  // Of connections.
  std::thread accept_thread_;
  std::thread beat_thread_;
};

}  // namespace review
