// An open-loop load: arrivals are drawn beforehand and each is measured from
// the time at which it was due, so that a slow system can't slow its measure.
#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <random>
#include <string>
#include <vector>

#include "transport/http_client.h"

namespace bilberrypitch::lab {

struct LoadWorkspace {
  std::string name;
  std::string key;
  double rate_tokens_per_s = 0;
  double burst_tokens = 0;
  double share = 0;  // Of the requests.
  std::vector<std::string> adapters;
};

struct LoadOptions {
  double requests_per_s = 1;
  double seconds = 10;
  double zipf = 1;
  int output_tokens = 16;
  uint64_t seed = 1;
  double shift_every_s = 0;  // 0: popularity stands.
  std::string loud_workspace;
  double loud_factor = 1;
  std::vector<std::string> addresses;  // Of the entry instances.
};

// What became of the requests of one workspace.
struct LoadOutcome {
  std::vector<double> first_token_s;  // Of the answered, from when due.
  int64_t sent = 0;
  int64_t answered = 0;
  int64_t refused = 0;
  int64_t refused_inside_rate = 0;
  int64_t failed = 0;
  int64_t inside_rate = 0;
  std::map<std::string, int64_t> kinds;  // Of refusals and failures.
};

class LoadGenerator {
 public:
  LoadGenerator(HttpClient* client, LoadOptions options,
                std::vector<LoadWorkspace> workspaces);

  // Blocks until all answers came. `at_time` is called about every 20 ms with
  // the time since the start.
  void Run(const std::function<void(double)>& at_time);
  const std::map<std::string, LoadOutcome>& outcomes() const {
    return outcomes_;
  }

 private:
  // The ideal bucket tells whether a request was inside its workspace's rate.
  struct Bucket {
    double tokens = 0;
    double at_s = 0;
  };

  void Send(double due_s);
  const LoadWorkspace& PickWorkspace();
  const std::string& PickAdapter(const LoadWorkspace& workspace, double now_s);
  bool TakeInsideRate(const LoadWorkspace& workspace, double cost,
                      double now_s);

  HttpClient* const client_;
  const LoadOptions options_;
  const std::vector<LoadWorkspace> workspaces_;
  std::mt19937_64 random_;
  std::map<std::string, std::vector<double>> zipf_weights_;
  std::map<std::string, Bucket> buckets_;
  std::mutex lock_;  // Guards the outcomes.
  std::map<std::string, LoadOutcome> outcomes_;
  std::atomic<int64_t> open_ = 0;
  int64_t begun_ns_ = 0;
  size_t next_address_ = 0;
};

// The value below which `part` of the values lie; 0 when there are none.
double Percentile(std::vector<double> values, double part);

}  // namespace bilberrypitch::lab
