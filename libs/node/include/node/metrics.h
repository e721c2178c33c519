// Counters, gauges and latency summaries of this process, in the Prometheus
// text format. Summaries by Boost.Accumulators.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace bilberrypitch {

// Thread-safe.
class Metrics {
 public:
  Metrics();
  ~Metrics();

  // `labels` is empty or the text between the braces.
  void Add(const std::string& name, const std::string& labels, uint64_t n = 1);
  void Set(const std::string& name, const std::string& labels, double value);
  // A value of a summary with the quantiles 0.5, 0.95 and 0.99.
  void Observe(const std::string& name, double value);
  uint64_t Count(const std::string& name, const std::string& labels) const;
  std::string Render() const;

 private:
  struct Summary;

  mutable std::mutex lock_;  // Guards all below.
  std::map<std::string, std::map<std::string, uint64_t>> counters_;
  std::map<std::string, std::map<std::string, double>> gauges_;
  std::map<std::string, std::unique_ptr<Summary>> summaries_;
};

}  // namespace bilberrypitch
