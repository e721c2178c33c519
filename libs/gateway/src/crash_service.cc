// Sends and applies notices about crashes and suspicions.
#include "gateway/crash_service.h"

#include "base/log.h"
#include "gateway/peer_messenger.h"
#include "schema/cluster.pb.h"
#include "transport/event_loop.h"

namespace bilberrypitch {

CrashService::CrashService(CrashTracker* tracker, PeerMessenger* peers)
    : tracker_(tracker), peers_(peers) {}

void CrashService::OnConnectionBroken(uint64_t fingerprint, const CrashId& id) {
  if (tracker_->OnConnectionBroken(fingerprint, id, EventLoop::Now())) {
    BroadcastNotice(fingerprint, id, false);
  }
}

void CrashService::OnUpstreamDown(const UpstreamId& upstream) {
  for (const CrashTracker::Crash& crash :
       tracker_->OnUpstreamDown(upstream, EventLoop::Now())) {
    LogInfo("crash", "Request fingerprint={:016x} ran when upstream={} ended.",
            crash.fingerprint, upstream.str());
    BroadcastNotice(crash.fingerprint, crash.id, true);
  }
}

void CrashService::OnCrashNotice(const schema::CrashNotice& notice) {
  CrashId id{UpstreamId(notice.upstream()), notice.started_ms()};
  if (notice.confirmed()) {
    tracker_->OnPeerCrash(notice.fingerprint(), id, EventLoop::Now());
  } else {
    tracker_->OnPeerSuspicion(notice.fingerprint(), id, EventLoop::Now());
  }
}

void CrashService::BroadcastNotice(uint64_t fingerprint, const CrashId& id,
                                   bool confirmed) {
  schema::PeerItem item;
  item.mutable_crash()->set_fingerprint(fingerprint);
  item.mutable_crash()->set_upstream(id.upstream.str());
  item.mutable_crash()->set_started_ms(id.started_ms);
  item.mutable_crash()->set_confirmed(confirmed);
  peers_->Broadcast(item);
}

}  // namespace bilberrypitch
