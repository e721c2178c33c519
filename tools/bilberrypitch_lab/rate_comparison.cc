// Comparison of ways to keep a rate. The decisions of the moving tokens are
// those of libs/limits; the other two ways are written here.
#include "rate_comparison.h"

#include <fmt/format.h>

#include <algorithm>
#include <deque>
#include <fstream>
#include <map>
#include <random>
#include <vector>

#include "base/json.h"
#include "base/strong.h"
#include "limits/token_account.h"

namespace bilberrypitch::lab {
namespace {

constexpr size_t kInstances = 9;
constexpr double kRate = 2000;
constexpr double kBurst = 6000;
constexpr int64_t kEndMs = 120 * 1000;
constexpr int64_t kLongestWaitMs = 1000;  // "A short wait beats a refusal."
constexpr int64_t kTransferMs = 40;
constexpr int64_t kMessageMs = 2;
constexpr int64_t kStoreMs = 3;
constexpr double kStoreWritesPerS = 300;
constexpr int64_t kOutageFromMs = 60 * 1000;
constexpr int64_t kOutageToMs = 80 * 1000;
constexpr double kMeanGapMs = 50;
constexpr double kSkew = 0.6;  // Part of the arrivals at the first instance.

struct Arrival {
  int64_t at_ms = 0;
  size_t instance = 0;
  double cost = 0;
  bool inside_rate = false;
};

struct Tally {
  std::string name;
  int64_t served = 0;
  int64_t refused_inside = 0;
  int64_t inside = 0;
  int64_t over_rate = 0;  // Times at which more was given than allowed.
  double waited_ms = 0;
  int64_t store_writes = 0;
};

// The bound itself: what may be spent at most.
class Ideal {
 public:
  bool Take(double n, int64_t now_ms) {
    Advance(now_ms);
    if (tokens_ < n) return false;
    tokens_ -= n;
    return true;
  }
  // True when this was more than the bound allows.
  bool Spend(double n, int64_t now_ms) {
    Advance(now_ms);
    tokens_ -= n;
    return tokens_ < -1e-6;
  }

 private:
  void Advance(int64_t now_ms) {
    tokens_ = std::min(
        kBurst, tokens_ + kRate * static_cast<double>(now_ms - at_ms_) / 1000);
    at_ms_ = now_ms;
  }
  double tokens_ = kBurst;
  int64_t at_ms_ = 0;
};

std::vector<Arrival> MakeArrivals() {
  std::mt19937_64 random(5);
  std::exponential_distribution<double> gap(1 / kMeanGapMs);
  std::uniform_real_distribution<double> part(0, 1);
  std::uniform_int_distribution<int> cost(20, 150);
  std::vector<Arrival> arrivals;
  Ideal ideal;
  for (double at = gap(random); at < kEndMs; at += gap(random)) {
    Arrival it;
    it.at_ms = static_cast<int64_t>(at);
    it.instance = part(random) < kSkew ? 0 : 1 + random() % (kInstances - 1);
    it.cost = cost(random);
    it.inside_rate = ideal.Take(it.cost, it.at_ms);
    arrivals.push_back(it);
  }
  return arrivals;
}

// Queues at each instance; `reserve` decides in simulated time.
template <typename Reserve, typename Tick>
Tally Simulate(const char* name, const std::vector<Arrival>& arrivals,
               Reserve reserve, Tick tick) {
  Tally tally;
  tally.name = name;
  Ideal bound;
  std::vector<std::deque<Arrival>> queues(kInstances);
  size_t next = 0;
  for (int64_t now = 0; now < kEndMs + 2 * kLongestWaitMs; ++now) {
    while (next < arrivals.size() && arrivals[next].at_ms <= now) {
      tally.inside += arrivals[next].inside_rate;
      queues[arrivals[next].instance].push_back(arrivals[next]);
      ++next;
    }
    tick(now, queues);
    for (size_t i = 0; i < kInstances; ++i) {
      while (!queues[i].empty()) {
        const Arrival& it = queues[i].front();
        if (reserve(i, it.cost, now)) {
          ++tally.served;
          tally.waited_ms += static_cast<double>(now - it.at_ms);
          tally.over_rate += bound.Spend(it.cost, now);
        } else if (now - it.at_ms > kLongestWaitMs) {
          tally.refused_inside += it.inside_rate;
        } else {
          break;
        }
        queues[i].pop_front();
      }
    }
  }
  return tally;
}

using Queues = std::vector<std::deque<Arrival>>;

BootId BootOf(size_t i) { return BootId(fmt::format("boot-{}", i)); }

Tally SimulateParts(const char* name, const std::vector<Arrival>& arrivals,
                    bool moves) {
  std::vector<TokenAccount> accounts(kInstances);
  for (TokenAccount& it : accounts) {
    it.SetPart(kRate / kInstances, kBurst / kInstances, Millis(0));
  }
  // The parts are full at the start, as the bound is.
  for (TokenAccount& it : accounts) it.Refund(kBurst, Millis(0));
  struct Message {
    int64_t at = 0;
    size_t from = 0;
    size_t to = 0;
    TokenPairTotals totals;
  };
  std::deque<Message> messages;
  auto tick = [&](int64_t now, const Queues& queues) {
    if (!moves) return;
    while (!messages.empty() && messages.front().at <= now) {
      const Message& it = messages.front();
      accounts[it.to].OnTotals(BootOf(it.from), it.totals, Millis(kMessageMs),
                               Millis(now));
      if (it.totals.wanted > 0) {
        double part = std::max(1.0, it.totals.wanted / (kInstances - 1));
        accounts[it.to].Move(BootOf(it.from),
                             std::min(part, accounts[it.to].Spare(Millis(now))),
                             Millis(now));
      }
      messages.pop_front();
    }
    if (now % kTransferMs != 0) return;
    for (size_t i = 0; i < kInstances; ++i) {
      double waiting = 0;
      for (const Arrival& it : queues[i]) waiting += it.cost;
      accounts[i].SetWanted(
          std::max(0.0, waiting - accounts[i].Tokens(Millis(now))));
      accounts[i].Tick(Millis(now));
      for (size_t j = 0; j < kInstances; ++j) {
        if (j != i) {
          messages.push_back(
              {now + kMessageMs, i, j, accounts[i].TotalsFor(BootOf(j))});
        }
      }
    }
  };
  auto reserve = [&](size_t i, double cost, int64_t now) {
    return accounts[i].Reserve(cost, Millis(now));
  };
  return Simulate(name, arrivals, reserve, tick);
}

Tally SimulateCentral(const std::vector<Arrival>& arrivals) {
  Ideal counter;
  double writes = kStoreWritesPerS;
  int64_t refilled = 0;
  int64_t used = 0;
  auto reserve = [&](size_t, double cost, int64_t now) {
    writes = std::min(
        kStoreWritesPerS,
        writes + kStoreWritesPerS * static_cast<double>(now - refilled) / 1000);
    refilled = now;
    bool out = now >= kOutageFromMs && now < kOutageToMs;
    if (out || writes < 1) return false;
    // Each attempt is a transaction, also one that finds too few tokens.
    writes -= 1;
    ++used;
    return counter.Take(cost, now);
  };
  Tally tally = Simulate("central counter", arrivals, reserve,
                         [](int64_t, const Queues&) {});
  tally.waited_ms += static_cast<double>(tally.served * kStoreMs);
  tally.store_writes = used;
  return tally;
}

}  // namespace

int CompareRates(const std::string& out) {
  std::vector<Arrival> arrivals = MakeArrivals();
  std::vector<Tally> all = {
      SimulateParts("moving tokens", arrivals, true),
      SimulateParts("equal split", arrivals, false),
      SimulateCentral(arrivals),
  };
  json::array rows;
  for (const Tally& it : all) {
    double wrongful = 1000.0 * static_cast<double>(it.refused_inside) /
                      static_cast<double>(std::max<int64_t>(1, it.inside));
    double waited =
        it.waited_ms / static_cast<double>(std::max<int64_t>(1, it.served));
    fmt::print(
        "{}: inside the rate {}, refused of those {:.1f}/1000, mean wait "
        "{:.1f} "
        "ms, above rate and burst {} times, store writes {}\n",
        it.name, it.inside, wrongful, waited, it.over_rate, it.store_writes);
    rows.push_back({{"way", it.name},
                    {"inside_rate", it.inside},
                    {"wrongful_per_1000", wrongful},
                    {"mean_wait_ms", waited},
                    {"over_rate", it.over_rate},
                    {"store_writes", it.store_writes}});
  }
  std::ofstream(out + ".json") << json::serialize(rows) << "\n";
  return 0;
}

}  // namespace bilberrypitch::lab
