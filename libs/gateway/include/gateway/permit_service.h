// Requests for permits to send to upstreams that state a rate limit, and the
// news of such limits, between the instances.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>

#include "gateway/cold_permit_source.h"
#include "serving/ids.h"
#include "serving/permit_issuer.h"

namespace bilberrypitch {

class EventLoop;
class PeerMessenger;
class UpstreamRegistry;
namespace schema {
class PermitAnswer;
class PermitQuestion;
class PermitReturn;
class RateLimitNews;
}  // namespace schema

// The pointers passed to the constructor must outlive the service. Must be used
// on the event loop's thread only.
class PermitService {
 public:
  PermitService(EventLoop* loop, const MachineId& self,
                UpstreamRegistry* upstreams, PeerMessenger* peers);
  ~PermitService();

  // Asks the upstream's issuer for a permit whose turn is within `max_wait`, by
  // the rules for cold upstreams if it is cold. `done` is called once, possibly
  // before the return.
  void Acquire(const UpstreamId& upstream, double rate_per_s, Millis max_wait,
               std::function<void(Permit)> done);
  // A permit that the first issuer has granted is not used.
  void Return(const UpstreamId& upstream);
  // This instance has heard from the upstream that its limit has changed.
  void OnLimitChanged(const UpstreamId& upstream, std::optional<double> limit);

  // From other instances.
  void OnQuestion(const MachineId& from,
                  const schema::PermitQuestion& question);
  void OnAnswer(const schema::PermitAnswer& answer);
  void OnReturn(const schema::PermitReturn& returned);
  void OnNews(const schema::RateLimitNews& news);
  void OnMembersChanged();
  // See ColdPermitIssuer.
  void OnView(Millis confirmed_at, Millis member_until);
  // A new member is told the limits that this instance has spread.
  void OnMemberSet(const MachineId& machine);

 private:
  struct PendingQuestion;

  // The issuers of permits for the upstream, by rank.
  const std::vector<MachineId>& IssuersOf(const UpstreamId& upstream);
  // Asks the issuer of this rank; without one, decides by this instance's own
  // share.
  void Ask(uint64_t number);
  void Finish(uint64_t number, const Permit& permit);
  // As the first issuer of the upstream, or in its place.
  Permit Issue(const UpstreamId& upstream, double rate_per_s, bool substitute,
               Millis max_wait);
  Permit IssueOwnShare(const PendingQuestion& question);
  std::optional<Permit> IssueCold(const UpstreamId& upstream, double rate_per_s,
                                  Millis max_wait);
  Permit IssueOwnColdShare(const PendingQuestion& question);
  void Answer(const MachineId& to, const schema::PermitQuestion& question,
              const Permit& permit);
  // As the issuer of the upstream: tells all others.
  void Spread(const UpstreamId& upstream, std::optional<double> limit);
  void SendNews(const MachineId& to, const UpstreamId& upstream,
                std::optional<double> limit, bool spread);

  EventLoop* const loop_;
  const MachineId self_;
  UpstreamRegistry* const upstreams_;
  PeerMessenger* const peers_;
  PermitIssuer issuer_;
  PermitIssuer substitute_issuer_;
  PermitIssuer own_share_;
  ColdPermitSource cold_source_;
  std::map<UpstreamId, std::vector<MachineId>> issuers_;  // As last derived.
  uint64_t last_number_;
  std::map<uint64_t, std::unique_ptr<PendingQuestion>> pending_;
  std::map<UpstreamId, double> spread_limits_;  // As last told to the others.
};

}  // namespace bilberrypitch
