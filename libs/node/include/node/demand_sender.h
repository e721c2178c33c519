// Tells the leaders which adapters wait here, each the leader of the adapter's
// home zone.
#pragma once

#include <map>
#include <mutex>
#include <vector>

#include "base/adapter_ref.h"
#include "dispatch/fair_queue.h"
#include "node/node_context.h"

namespace bilberrypitch {

class ResidencyService;
class UpstreamTable;
struct LedZone;

class DemandSender {
 public:
  DemandSender(const NodeContext& context, ResidencyService* residency,
               UpstreamTable* upstreams);

  // Thread-safe: a request for `ref` was admitted.
  void OnArrival(const AdapterVersionRef& ref);
  // From the ticking thread only. Whether it is time to send again.
  bool Due(Millis now) const { return now >= next_send_; }
  void Send(const std::vector<WaitingForAdapter>& waiting, Millis now);

 private:
  ZoneId HomeZone(const WaitingForAdapter& waiting,
                  const std::vector<LedZone>& led, const Catalog& catalog);

  const NodeContext context_;
  ResidencyService* const residency_;
  UpstreamTable* const upstreams_;
  const bool own_zone_only_;  // For comparison in experiments.
  std::mutex lock_;           // Guards the arrivals.
  std::map<AdapterVersionRef, double> arrivals_;  // Since the last sending.
  // Homes of the adapters that wait: each keeps the one it was given.
  std::map<AdapterVersionRef, ZoneId> homes_;
  Millis next_send_;
};

}  // namespace bilberrypitch
