// Finds out whether an upstream whose connection broke has crashed, keeps the
// quarantine of requests that crash upstreams, and tells peers of it.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

#include "dispatch/quarantine.h"
#include "node/model_request.h"
#include "node/node_context.h"

namespace bilberrypitch {

class FleetService;
class UpstreamTable;

namespace schema {
class Envelope;
}

// Thread-safe.
class CrashWatch {
 public:
  using RequestPtr = std::shared_ptr<ModelRequest>;
  // Called for each broken request once its upstream's state is known.
  using Settled = std::function<void(const RequestPtr&, const AttemptEnd&)>;

  CrashWatch(const NodeContext& context, FleetService* fleet,
             UpstreamTable* upstreams, Settled settled);

  QuarantineVerdict Judge(const Fingerprint& fingerprint, Millis now) const;
  bool MayRunAlone(const UpstreamId& upstream) const;
  void OnBegin(const Fingerprint& fingerprint, const UpstreamId& upstream);
  void OnEnd(const Fingerprint& fingerprint, const UpstreamId& upstream,
             bool answered);
  // A connection to `upstream` broke with `request` on it. `present` are the
  // requests that ran there from here. The request is held until a probe of
  // the upstream has ended.
  void OnBroken(const UpstreamId& upstream, const std::string& address,
                const std::vector<Fingerprint>& present,
                const RequestPtr& request, const AttemptEnd& end);
  void Tick(Millis now);
  void OnGossip(const schema::Envelope& envelope, Millis now);
  // Broken requests that wait for a probe.
  size_t held() const;

 private:
  // The first broken connection of a crash and those that followed.
  struct Episode {
    std::vector<Fingerprint> present;
    std::vector<std::pair<RequestPtr, AttemptEnd>> broken;
  };

  void OnProbe(const UpstreamId& upstream, CallResult result);
  void SendRecords(Millis now);

  const NodeContext context_;
  FleetService* const fleet_;
  UpstreamTable* const upstreams_;
  const Settled settled_;
  mutable std::mutex lock_;  // Guards all below.
  Quarantine quarantine_;
  std::map<UpstreamId, Episode> episodes_;
  Millis next_records_;
};

}  // namespace bilberrypitch
