// The service for each kind of item.
#include "gateway/peer_dispatcher.h"

#include "base/log.h"
#include "gateway/adapter_service.h"
#include "gateway/crash_service.h"
#include "gateway/freshness_service.h"
#include "gateway/load_broadcaster.h"
#include "gateway/part_crash_service.h"
#include "gateway/path_service.h"
#include "gateway/permit_service.h"
#include "gateway/prefill_service.h"
#include "gateway/rate_limit_service.h"
#include "gateway/stream_service.h"
#include "schema/cluster.pb.h"
#include "serving/token_count.h"
#include "serving/upstream_registry.h"
#include "transport/event_loop.h"

namespace bilberrypitch {

PeerDispatcher::PeerDispatcher(const Deps& deps) : deps_(deps) {}

void PeerDispatcher::OnBrittleNews(const schema::BrittleNews& news) {
  Millis now = EventLoop::Now();
  UpstreamState* upstream = deps_.upstreams->Find(UpstreamId(news.upstream()));
  if (upstream != nullptr) {
    deps_.upstreams->OnBrittle(upstream,
                               news.is_brittle()
                                   ? std::optional(news.rejections_per_s())
                                   : std::nullopt,
                               now, now);
  }
}

void PeerDispatcher::OnItem(const MachineId& from,
                            const schema::PeerItem& item) {
  deps_.rate_limits->OnMessageFrom(from);
  switch (item.body_case()) {
    case schema::PeerItem::kWant:
      deps_.adapters->OnLoadRequest(from, item.want());
      break;
    case schema::PeerItem::kState:
      deps_.adapters->OnAdapterStatus(item.state());
      break;
    case schema::PeerItem::kUse:
      deps_.adapters->OnUsage(from, item.use());
      break;
    case schema::PeerItem::kMissing:
      deps_.adapters->OnAdapterMissing(item.missing());
      break;
    case schema::PeerItem::kRateQuestion:
      deps_.rate_limits->OnRequest(from, item.rate_question());
      break;
    case schema::PeerItem::kRateAnswer:
      deps_.rate_limits->OnResponse(item.rate_answer());
      break;
    case schema::PeerItem::kLoad:
      deps_.upstreams->OnPeerLoad(
          UpstreamId(item.load().engine()), from,
          {item.load().in_flight(),
           BoundTotalTokens(item.load().tokens_unread()), EventLoop::Now()});
      break;
    case schema::PeerItem::kSlowdownNews:
      deps_.loads->OnNews(item.slowdown_news());
      break;
    case schema::PeerItem::kReadingQuestion:
      deps_.prefills->OnRequest(from, item.reading_question());
      break;
    case schema::PeerItem::kReadingAnswer:
      deps_.prefills->OnResponse(item.reading_answer());
      break;
    case schema::PeerItem::kReadingDone:
      deps_.prefills->OnRelease(from, item.reading_done());
      break;
    case schema::PeerItem::kAlive:
      break;  // A heartbeat; OnMessageFrom has noted it.
    case schema::PeerItem::kCrash:
      deps_.crashes->OnCrashNotice(item.crash());
      break;
    case schema::PeerItem::kPartCrash:
      deps_.part_crashes->OnCrashNotice(item.part_crash());
      break;
    case schema::PeerItem::kPartAccusation:
      deps_.part_crashes->OnAccusation(from, item.part_accusation());
      break;
    case schema::PeerItem::kPartBegun:
      deps_.part_crashes->OnPartBegun(item.part_begun());
      break;
    case schema::PeerItem::kPermitQuestion:
      deps_.permits->OnQuestion(from, item.permit_question());
      break;
    case schema::PeerItem::kPermitAnswer:
      deps_.permits->OnAnswer(item.permit_answer());
      break;
    case schema::PeerItem::kPermitReturn:
      deps_.permits->OnReturn(item.permit_return());
      break;
    case schema::PeerItem::kRateLimitNews:
      deps_.permits->OnNews(item.rate_limit_news());
      break;
    case schema::PeerItem::kStreamNews:
      deps_.streams->OnNews(item.stream_news());
      break;
    case schema::PeerItem::kStreamQuestion:
      deps_.streams->OnQuestion(from, item.stream_question());
      break;
    case schema::PeerItem::kStreamAnswer:
      deps_.streams->OnAnswer(from, item.stream_answer());
      break;
    case schema::PeerItem::kBrittleNews:
      OnBrittleNews(item.brittle_news());
      break;
    case schema::PeerItem::kLeavingNews:
      deps_.upstreams->OnLeavingNews(UpstreamId(item.leaving_news().upstream()),
                                     item.leaving_news().started_ms(),
                                     EventLoop::Now());
      break;
    case schema::PeerItem::kPathNews:
      deps_.paths->OnNews(from, item.path_news().lost());
      break;
    case schema::PeerItem::kQuestion:
      deps_.freshness->OnQuery(item.question());
      break;
    case schema::PeerItem::kAnswer:
      deps_.freshness->OnQueryResponse(from, item.answer());
      break;
    case schema::PeerItem::BODY_NOT_SET:
      LogWarning("peer", "Ignored an item of unknown type from {}.",
                 from.str());
      break;
  }
}

}  // namespace bilberrypitch
