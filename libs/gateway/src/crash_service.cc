// Crashes and suspicions, told to the other instances.
#include "gateway/crash_service.h"

#include "base/log.h"
#include "gateway/peer_messenger.h"
#include "schema/cluster.pb.h"
#include "transport/event_loop.h"

namespace bilberrypitch {

CrashService::CrashService(CrashTracker* ledger, PeerMessenger* peers)
    : ledger_(ledger), peers_(peers) {}

void CrashService::OnConnectionBroken(uint64_t fingerprint, const CrashId& id) {
  if (ledger_->OnConnectionBroken(fingerprint, id, EventLoop::Now())) {
    Tell(fingerprint, id, false);
  }
}

void CrashService::OnUpstreamDown(const UpstreamId& upstream) {
  for (const CrashTracker::Crash& it :
       ledger_->OnUpstreamDown(upstream, EventLoop::Now())) {
    LogInfo("crash", "Request fingerprint={:016x} ran when upstream={} ended.",
            it.fingerprint, upstream.str());
    Tell(it.fingerprint, it.id, true);
  }
}

void CrashService::OnCrashNotice(const schema::CrashNotice& notice) {
  CrashId id{UpstreamId(notice.upstream()), notice.started_ms()};
  if (notice.confirmed()) {
    ledger_->OnPeerCrash(notice.fingerprint(), id, EventLoop::Now());
  } else {
    ledger_->OnPeerSuspicion(notice.fingerprint(), id, EventLoop::Now());
  }
}

void CrashService::Tell(uint64_t fingerprint, const CrashId& id,
                        bool confirmed) {
  schema::PeerItem item;
  item.mutable_crash()->set_fingerprint(fingerprint);
  item.mutable_crash()->set_upstream(id.upstream.str());
  item.mutable_crash()->set_started_ms(id.started_ms);
  item.mutable_crash()->set_confirmed(confirmed);
  peers_->Broadcast(item);
}

}  // namespace bilberrypitch
