// Questions for permits with their answers, and the spreading of limits.
#include "gateway/permit_service.h"

#include <algorithm>
#include <cmath>
#include <vector>

#include "base/hash.h"
#include "base/log.h"
#include "gateway/peer_messenger.h"
#include "schema/cluster.pb.h"
#include "serving/upstream_registry.h"
#include "transport/event_loop.h"
#include "transport/timer.h"

namespace bilberrypitch {
namespace {

// An issuer that runs answers within this time.
constexpr Millis kAnswerTimeout{60};
// When the issuers are asked again after neither has answered.
constexpr Millis kIssuerRetryTime{1000};
// An instance that was idle doesn't save up its own share.
constexpr Millis kOwnShareCredit{1000};
constexpr size_t kMaxKnownIssuers = 4096;
// A limit that changes by less is not spread again.
constexpr double kMinChange = 0.1;

// In [0, 1), spread over the instances, so that they don't use their own shares
// at the same time.
double StartFraction(const MachineId& machine) {
  constexpr uint64_t kParts = 1024;
  return static_cast<double>(StableHash(machine.str()) % kParts) / kParts;
}

}  // namespace

// A question that has no answer yet.
struct PermitService::PendingQuestion {
  explicit PendingQuestion(EventLoop* loop) : timer(loop) {}
  UpstreamId upstream;
  double rate_per_s = 0;
  Millis max_wait;
  bool is_cold = false;  // The upstream was, when the question was asked.
  Millis asked_at;
  size_t rank = 0;  // Of the issuer that was asked.
  std::function<void(Permit)> done;
  Timer timer;
};

PermitService::PermitService(EventLoop* loop, const MachineId& self,
                             UpstreamRegistry* upstreams, PeerMessenger* peers)
    : loop_(loop),
      self_(self),
      upstreams_(upstreams),
      peers_(peers),
      own_share_(-StartFraction(self), kOwnShareCredit),
      cold_source_(self, EventLoop::Now()),
      // Random, so that an earlier process of this machine used other numbers.
      last_number_(StableHash(RandomHex(8)) >> 1) {}

PermitService::~PermitService() = default;

const std::vector<MachineId>& PermitService::IssuersOf(
    const UpstreamId& upstream) {
  if (issuers_.size() >= kMaxKnownIssuers) {
    issuers_.clear();  // Most are of upstreams that are gone.
  }
  auto [it, added] = issuers_.try_emplace(upstream);
  if (added) {
    std::vector<MachineId> members{self_};
    for (const auto& [machine, member] : peers_->peers()) {
      members.push_back(machine);
    }
    it->second = PermitIssuers(upstream, members);
  }
  return it->second;
}

void PermitService::Acquire(const UpstreamId& upstream, double rate_per_s,
                            Millis max_wait, std::function<void(Permit)> done) {
  uint64_t number = ++last_number_;
  auto question = std::make_unique<PendingQuestion>(loop_);
  question->upstream = upstream;
  question->rate_per_s = rate_per_s;
  question->max_wait = max_wait;
  const UpstreamState* state = upstreams_->Find(upstream);
  question->is_cold = state != nullptr && state->IsCold();
  question->asked_at = EventLoop::Now();
  question->done = std::move(done);
  pending_[number] = std::move(question);
  Ask(number);
}

void PermitService::Ask(uint64_t number) {
  PendingQuestion& question = *pending_.at(number);
  const std::vector<MachineId>& issuers = IssuersOf(question.upstream);
  if (question.rank >= issuers.size()) {
    Finish(number, question.is_cold ? IssueOwnColdShare(question)
                                    : IssueOwnShare(question));
    return;
  }
  bool is_substitute = question.rank > 0;
  const MachineId& machine = issuers[question.rank];
  if (machine == self_ && question.is_cold) {
    std::optional<Permit> permit =
        IssueCold(question.upstream, question.rate_per_s, question.max_wait);
    if (permit) {
      Finish(number, *permit);
    } else {
      ++question.rank;
      Ask(number);
    }
    return;
  }
  if (machine == self_) {
    Finish(number, Issue(question.upstream, question.rate_per_s, is_substitute,
                         question.max_wait));
    return;
  }
  schema::PeerItem item;
  schema::PermitQuestion* encoded = item.mutable_permit_question();
  encoded->set_number(number);
  encoded->set_upstream(question.upstream.str());
  encoded->set_cold(question.is_cold);
  encoded->set_rate_per_s(question.rate_per_s);
  encoded->set_max_wait_ms(question.max_wait.count());
  encoded->set_substitute(is_substitute);
  peers_->Send(machine, std::move(item));
  question.timer.Start(kAnswerTimeout, [this, number] {
    ++pending_.at(number)->rank;
    Ask(number);
  });
}

Permit PermitService::Issue(const UpstreamId& upstream, double rate_per_s,
                            bool substitute, Millis max_wait) {
  PermitIssuer& issuer = substitute ? substitute_issuer_ : issuer_;
  double share = substitute ? kSubstituteShare : 1;
  Permit permit =
      issuer.Issue(upstream, rate_per_s, share, max_wait, EventLoop::Now());
  permit.by_first_issuer = !substitute;
  return permit;
}

std::optional<Permit> PermitService::IssueCold(const UpstreamId& upstream,
                                               double rate_per_s,
                                               Millis max_wait) {
  return cold_source_.Issue(upstream, IssuersOf(upstream), rate_per_s, max_wait,
                            EventLoop::Now());
}

Permit PermitService::IssueOwnColdShare(const PendingQuestion& question) {
  std::vector<MachineId> members{self_};
  for (const auto& [machine, member] : peers_->peers()) {
    members.push_back(machine);
  }
  std::sort(members.begin(), members.end());
  Permit permit = cold_source_.IssueOwnShare(
      question.upstream, members, question.rate_per_s, question.max_wait,
      EventLoop::Now());
  if (!permit.granted) {
    permit.wait = std::min(permit.wait, kIssuerRetryTime);
  }
  return permit;
}

Permit PermitService::IssueOwnShare(const PendingQuestion& question) {
  auto members = static_cast<double>(peers_->peers().size() + 1);
  Permit permit = own_share_.Issue(question.upstream, question.rate_per_s,
                                   kIsolatedShare / members, question.max_wait,
                                   EventLoop::Now());
  permit.by_first_issuer = false;
  if (!permit.granted) {
    permit.wait = std::min(permit.wait, kIssuerRetryTime);
  }
  return permit;
}

void PermitService::Finish(uint64_t number, const Permit& permit) {
  std::unique_ptr<PendingQuestion> question =
      std::move(pending_.extract(number).mapped());
  Permit result = permit;
  if (question->is_cold && permit.granted) {
    // The turn counts from the question, which an issuer has at once; an answer
    // that comes late, because this process was suspended, is of no use.
    Millis age = EventLoop::Now() - question->asked_at;
    result.by_first_issuer = false;
    result.lifetime = std::max(Millis(0), kColdPermitLifetime - age);
    result.granted = result.lifetime > Millis(0);
    result.wait =
        result.granted ? result.wait : std::max(result.wait, kAnswerTimeout);
  }
  question->done(result);
}

void PermitService::Return(const UpstreamId& upstream) {
  const std::vector<MachineId>& issuers = IssuersOf(upstream);
  if (issuers.front() == self_) {
    issuer_.Return(upstream);
    return;
  }
  schema::PeerItem item;
  item.mutable_permit_return()->set_upstream(upstream.str());
  peers_->Send(issuers.front(), std::move(item));
}

void PermitService::OnQuestion(const MachineId& from,
                               const schema::PermitQuestion& question) {
  Millis max_wait(question.max_wait_ms());
  UpstreamId upstream(question.upstream());
  if (question.cold()) {
    if (auto permit = IssueCold(upstream, question.rate_per_s(), max_wait)) {
      Answer(from, question, *permit);
    }
    return;
  }
  Answer(
      from, question,
      Issue(upstream, question.rate_per_s(), question.substitute(), max_wait));
}

void PermitService::Answer(const MachineId& to,
                           const schema::PermitQuestion& question,
                           const Permit& permit) {
  schema::PeerItem item;
  item.mutable_permit_answer()->set_number(question.number());
  item.mutable_permit_answer()->set_granted(permit.granted);
  item.mutable_permit_answer()->set_wait_ms(permit.wait.count());
  item.mutable_permit_answer()->set_substitute(question.substitute());
  peers_->Send(to, std::move(item));
}

void PermitService::OnAnswer(const schema::PermitAnswer& answer) {
  if (pending_.count(answer.number()) > 0) {
    Finish(answer.number(),
           {answer.granted(), Millis(answer.wait_ms()), !answer.substitute()});
  }
}

void PermitService::OnReturn(const schema::PermitReturn& returned) {
  issuer_.Return(UpstreamId(returned.upstream()));
}

void PermitService::OnLimitChanged(const UpstreamId& upstream,
                                   std::optional<double> limit) {
  LogInfo("upstream", "Limit id={} per_s={}.", upstream.str(),
          limit ? std::to_string(*limit) : "none");
  MachineId issuer = IssuersOf(upstream).front();
  if (issuer == self_) {
    Spread(upstream, limit);
  } else {
    SendNews(issuer, upstream, limit, false);
  }
}

void PermitService::Spread(const UpstreamId& upstream,
                           std::optional<double> limit) {
  auto told = spread_limits_.find(upstream);
  if (!limit) {
    if (told == spread_limits_.end()) {
      return;
    }
    spread_limits_.erase(told);
  } else {
    bool known = told != spread_limits_.end() &&
                 std::abs(told->second - *limit) <= kMinChange * *limit;
    if (known) {
      return;
    }
    spread_limits_[upstream] = *limit;
  }
  for (const auto& [machine, member] : peers_->peers()) {
    SendNews(machine, upstream, limit, true);
  }
}

void PermitService::SendNews(const MachineId& to, const UpstreamId& upstream,
                             std::optional<double> limit, bool spread) {
  schema::PeerItem item;
  schema::RateLimitNews* news = item.mutable_rate_limit_news();
  news->set_upstream(upstream.str());
  news->set_has_limit(limit.has_value());
  news->set_rate_per_s(limit.value_or(0));
  news->set_spread(spread);
  peers_->Send(to, std::move(item));
}

void PermitService::OnNews(const schema::RateLimitNews& news) {
  UpstreamId id(news.upstream());
  std::optional<double> limit;
  if (news.has_limit()) {
    limit = news.rate_per_s();
  }
  if (UpstreamState* upstream = upstreams_->Find(id)) {
    Millis now = EventLoop::Now();
    upstreams_->OnRateLimit(upstream, limit, now, now);
  }
  if (!news.spread()) {
    Spread(id, limit);
  }
}

void PermitService::OnMembersChanged() {
  issuers_.clear();
  issuer_.OnMembersChanged(EventLoop::Now());
  cold_source_.OnMembersChanged(EventLoop::Now());
}

void PermitService::OnView(Millis confirmed_at, Millis member_until) {
  cold_source_.OnView(confirmed_at, member_until, EventLoop::Now());
}

void PermitService::OnMemberSet(const MachineId& machine) {
  for (const auto& [upstream, limit] : spread_limits_) {
    SendNews(machine, upstream, limit, true);
  }
}

}  // namespace bilberrypitch
