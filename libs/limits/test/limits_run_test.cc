// A randomised run of one workspace's tokens over many instances: messages are
// lost, doubled and late, instances pause, wake, die and are replaced, and the
// traffic is skewed. Invariant: what is spent in any time t is at most
// burst + rate * t, checked against one ideal bucket.
#include <fmt/format.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <cstdlib>
#include <random>

#include "limits/token_account.h"

namespace bilberrypitch {
namespace {

constexpr size_t kInstances = 8;
constexpr double kRate = 400;
constexpr double kBurst = 800;
constexpr double kEpsilon = 1e-3;
constexpr int kEventsInCi = 500000;

struct FakeInstance {
  BootId boot;
  TokenAccount account;
  Millis paused_until;
  Millis mints_from;
  Millis clock_offset;  // Clocks of instances are not the same.
  bool owns = true;
  std::map<BootId, Millis> peer_clocks;  // Newest heard.
  double waiting = 0;
  Millis waiting_since;
};

struct FakeMessage {
  BootId from;
  BootId to;
  TokenPairTotals totals;
  Millis receiver_clock;
  Millis sender_clock;
};

class Run {
 public:
  Run(uint64_t seed, double load) : random_(seed), load_(load) {
    for (size_t i = 0; i < kInstances; ++i) instances_.push_back(Start(now_));
  }

  void Events(int n) {
    for (int i = 0; i < n; ++i) {
      now_ = now_ + Millis(1 + i % 2);
      ideal_ = std::min(kBurst, ideal_ + kRate * (now_ - ideal_at_).seconds());
      ideal_at_ = now_;
      Disturb();
      Deliver();
      Step(&instances_[static_cast<size_t>(i) % kInstances]);
    }
  }

  int broken = 0;
  double spent = 0;
  double refunded = 0;
  int64_t served = 0;
  int64_t refused = 0;
  int replaced = 0;
  double seconds() const { return (now_ - Millis(100000)).seconds(); }

 private:
  bool Chance(double p) {
    return std::uniform_real_distribution<double>(0, 1)(random_) < p;
  }
  int64_t Between(int64_t low, int64_t high) {
    return std::uniform_int_distribution<int64_t>(low, high)(random_);
  }

  FakeInstance Start(Millis mints_from) {
    FakeInstance it;
    it.boot = BootId(fmt::format("b{}", ++boots_));
    it.mints_from = mints_from;
    it.clock_offset = Millis(Between(0, 1000000));
    return it;
  }

  void Disturb() {
    if (!Chance(0.001)) return;
    FakeInstance& it =
        instances_[static_cast<size_t>(Between(0, kInstances - 1))];
    if (Chance(0.5)) {
      it.paused_until = now_ + Millis(Between(100, 20000));
    } else if (Chance(0.3)) {
      Die(&it);
    } else if (Chance(0.5)) {
      cut_ = !cut_;
    }
  }

  // The registration is removed, the peers learn of it at once or late, and
  // the part goes to the next owner, who waits.
  void Die(FakeInstance* it) {
    gone_.push_back({it->boot, now_ + Millis(Between(0, 4000))});
    *it = Start(now_ + kPartWait);
    ++replaced;
  }

  FakeInstance* Find(const BootId& boot) {
    for (FakeInstance& it : instances_) {
      if (it.boot == boot) return &it;
    }
    return nullptr;
  }

  Millis Clock(const FakeInstance& it) const { return now_ + it.clock_offset; }

  void Deliver() {
    while (!messages_.empty() && messages_.begin()->first <= now_) {
      auto node = messages_.extract(messages_.begin());
      FakeInstance* to = Find(node.mapped().to);
      if (to == nullptr) continue;
      if (to->paused_until > now_) {
        node.key() = to->paused_until;
        messages_.insert(std::move(node));
        continue;
      }
      Receive(to, node.mapped());
    }
    for (auto& [boot, at] : gone_) {
      if (at != Millis() && at <= now_) {
        for (FakeInstance& it : instances_) {
          if (it.paused_until <= now_) it.account.OnPeerGone(boot);
        }
        at = Millis();
      }
    }
  }

  void Receive(FakeInstance* to, const FakeMessage& it) {
    Millis& clock = to->peer_clocks[it.from];
    clock = std::max(clock, it.sender_clock);
    bool known_gone = std::any_of(gone_.begin(), gone_.end(), [&](auto& gone) {
      return gone.first == it.from && gone.second == Millis();
    });
    if (known_gone || it.receiver_clock == Millis()) return;
    Millis age = Clock(*to) - it.receiver_clock;
    to->account.OnTotals(it.from, it.totals, age, Clock(*to));
    if (it.totals.wanted > 0) {
      double spare = to->account.Spare(Clock(*to));
      to->account.Move(it.from,
                       std::min(spare, it.totals.wanted / (kInstances - 1)),
                       Clock(*to));
    }
  }

  void Step(FakeInstance* it) {
    if (it->paused_until > now_) return;
    if (now_ >= it->mints_from) {
      it->account.SetPart(kRate / kInstances, kBurst / kInstances, Clock(*it));
    }
    Arrive(it);
    Serve(it);
    it->account.SetWanted(
        it->waiting > 0
            ? std::max(0.0, it->waiting - it->account.Tokens(Clock(*it)))
            : 0);
    it->account.Tick(Clock(*it));
    for (const FakeInstance& peer : instances_) {
      if (peer.boot != it->boot) Send(*it, peer);
    }
  }

  // Most of the traffic comes to a few instances.
  void Arrive(FakeInstance* it) {
    size_t index = static_cast<size_t>(it - instances_.data());
    double skew = index < 2 ? 3.2 : 0.27;
    constexpr double kMeanCost = 60;
    double per_step = load_ * kRate * skew / kInstances * 0.012 / kMeanCost;
    if (it->waiting == 0 && Chance(per_step)) {
      bool large = Chance(0.05);
      it->waiting =
          static_cast<double>(large ? Between(200, 600) : Between(10, 80));
      it->waiting_since = now_;
    }
  }

  void Serve(FakeInstance* it) {
    if (it->waiting == 0) return;
    if (it->account.Reserve(it->waiting, Clock(*it))) {
      ++served;
      Spend(it->waiting);
      if (Chance(0.5)) Refund(it, it->waiting * 0.4);
      it->waiting = 0;
    } else if (now_ - it->waiting_since > Millis(5000)) {
      ++refused;
      it->waiting = 0;
    }
  }

  void Spend(double n) {
    spent += n;
    ideal_ -= n;
    if (ideal_ < -kEpsilon) ++broken;
  }

  // Counted as far as the account takes it.
  void Refund(FakeInstance* it, double n) {
    double before = it->account.Tokens(Clock(*it));
    it->account.Refund(n, Clock(*it));
    double taken = it->account.Tokens(Clock(*it)) - before;
    refunded += taken;
    ideal_ = std::min(kBurst, ideal_ + taken);
  }

  void Send(const FakeInstance& from, const FakeInstance& to) {
    if (Chance(0.1) || (cut_ && (&from - &to) % 2 != 0)) return;
    FakeMessage it;
    it.from = from.boot;
    it.to = to.boot;
    it.totals = from.account.TotalsFor(to.boot);
    it.sender_clock = Clock(from);
    auto heard = from.peer_clocks.find(to.boot);
    if (heard != from.peer_clocks.end()) it.receiver_clock = heard->second;
    int copies = Chance(0.05) ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
      int64_t delay = Chance(0.02) ? Between(0, 9000) : Between(1, 20);
      messages_.emplace(now_ + Millis(delay), it);
    }
  }

  std::mt19937_64 random_;
  const double load_;
  Millis now_{100000};
  int boots_ = 0;
  double ideal_ = kBurst;
  Millis ideal_at_{100000};
  bool cut_ = false;
  std::vector<FakeInstance> instances_;
  std::multimap<Millis, FakeMessage> messages_;
  std::vector<std::pair<BootId, Millis>> gone_;
};

int EventCount() {
  const char* text = std::getenv("BP_EVENTS");
  return text == nullptr ? kEventsInCi : std::atoi(text);
}

}  // namespace

TEST_CASE("no workspace gets more than its rate and burst over all instances") {
  for (uint64_t seed : {21, 22}) {
    for (double load : {0.7, 3.0}) {
      Run run(seed, load);
      run.Events(EventCount());
      fmt::print(
          "limits: {} events, seed {}, load {}, served {}, refused {}, "
          "replaced "
          "{}, used {:.2f} of the rate, broken invariants {}\n",
          EventCount(), seed, load, run.served, run.refused, run.replaced,
          (run.spent - run.refunded) / (kRate * run.seconds()), run.broken);
      REQUIRE(run.broken == 0);
      REQUIRE(run.served > 1000);
      REQUIRE(run.replaced > 20);
    }
  }
}

}  // namespace bilberrypitch
