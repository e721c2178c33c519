// Crashes of upstreams.
#include "node/crash_watch.h"

#include "base/log.h"
#include "membership/pause_detector.h"
#include "node/fleet_service.h"
#include "node/metrics.h"
#include "node/upstream_table.h"
#include "schema/peer.pb.h"

namespace bilberrypitch {
namespace {

constexpr Millis kRecordsPeriod{1000};
constexpr Millis kProbeDeadline{1000};

}  // namespace

CrashWatch::CrashWatch(const NodeContext& context, FleetService* fleet,
                       UpstreamTable* upstreams, Settled settled)
    : context_(context),
      fleet_(fleet),
      upstreams_(upstreams),
      settled_(std::move(settled)),
      quarantine_(context.instance) {}

QuarantineVerdict CrashWatch::Judge(const Fingerprint& fingerprint,
                                    Millis now) const {
  std::lock_guard lock(lock_);
  return quarantine_.Judge(fingerprint, now);
}

bool CrashWatch::MayRunAlone(const UpstreamId& upstream) const {
  std::lock_guard lock(lock_);
  return quarantine_.MayRunAlone(upstream);
}

void CrashWatch::OnBegin(const Fingerprint& fingerprint,
                         const UpstreamId& upstream) {
  std::lock_guard lock(lock_);
  quarantine_.OnBegin(fingerprint, upstream);
}

void CrashWatch::OnEnd(const Fingerprint& fingerprint,
                       const UpstreamId& upstream, bool answered) {
  std::lock_guard lock(lock_);
  quarantine_.OnEnd(fingerprint, upstream);
  if (answered) {
    quarantine_.OnSuccess(fingerprint);
  }
}

void CrashWatch::OnBroken(const UpstreamId& upstream,
                          const std::string& address,
                          const std::vector<Fingerprint>& present,
                          const RequestPtr& request, const AttemptEnd& end) {
  {
    std::lock_guard lock(lock_);
    auto [it, first] = episodes_.try_emplace(upstream);
    it->second.broken.emplace_back(request, end);
    if (!first) {
      return;
    }
    it->second.present = present;
  }
  HttpCall probe;
  probe.address = address;
  probe.target = "/v1/models";
  probe.own_connection = true;
  probe.deadlines = {kProbeDeadline, kProbeDeadline, kProbeDeadline,
                     kProbeDeadline};
  probe.on_done = [this, upstream](CallOutcome outcome) {
    OnProbe(upstream, outcome.result);
  };
  context_.http->Start(std::move(probe));
}

void CrashWatch::OnProbe(const UpstreamId& upstream, CallResult result) {
  Millis now = BootTimeNow();
  upstreams_->OnProbe(upstream, result, now);
  Episode episode;
  bool crashed = false;
  {
    std::lock_guard lock(lock_);
    auto node = episodes_.extract(upstream);
    episode = std::move(node.mapped());
    // Several connections that broke together are a crash too, of an upstream
    // that was back before the probe.
    crashed = SurelyNotSent(result) || episode.broken.size() > 1;
    if (crashed) {
      quarantine_.OnCrash(episode.present, now);
    }
  }
  if (crashed) {
    context_.metrics->Add("upstream_crashes_total", "");
    LogWarning("dispatch", "Upstream {} crashed with {} requests.",
               upstream.str(), episode.present.size());
    SendRecords(now);
  }
  for (const auto& [request, end] : episode.broken) {
    settled_(request, end);
  }
}

void CrashWatch::Tick(Millis now) {
  {
    std::lock_guard lock(lock_);
    if (now < next_records_) {
      return;
    }
    next_records_ = now + kRecordsPeriod;
  }
  SendRecords(now);
}

void CrashWatch::SendRecords(Millis now) {
  std::vector<QuarantineRecord> records;
  {
    std::lock_guard lock(lock_);
    records = quarantine_.Records(now);
  }
  if (records.empty()) {
    return;
  }
  schema::Envelope envelope;
  for (const QuarantineRecord& it : records) {
    schema::QuarantineEntry* entry =
        envelope.mutable_quarantine()->add_entries();
    entry->set_fingerprint(it.fingerprint.str());
    entry->set_crashes(it.crashes);
    entry->set_remaining_ms(static_cast<uint32_t>((it.expires - now).count()));
  }
  for (const Member& it : fleet_->LivePeers(now)) {
    context_.send(it.peer_address, envelope);
  }
}

void CrashWatch::OnGossip(const schema::Envelope& envelope, Millis now) {
  std::lock_guard lock(lock_);
  for (const schema::QuarantineEntry& it : envelope.quarantine().entries()) {
    quarantine_.OnGossip({Fingerprint(it.fingerprint()),
                          InstanceId(envelope.from()), it.crashes(),
                          now + Millis(it.remaining_ms())});
  }
}

size_t CrashWatch::held() const {
  std::lock_guard lock(lock_);
  size_t n = 0;
  for (const auto& [upstream, episode] : episodes_) {
    n += episode.broken.size();
  }
  return n;
}

}  // namespace bilberrypitch
