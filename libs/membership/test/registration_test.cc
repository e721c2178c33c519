// A randomised run of registrations: instances pause, are cut from the store
// and from each other, die and are replaced. No instance may be confirmed once
// its registration was removed.
#include "membership/registration.h"

#include <fmt/format.h>

#include <catch2/catch.hpp>
#include <cstdlib>
#include <deque>
#include <memory>
#include <random>

#include "base/check.h"

namespace bilberrypitch {
namespace {

constexpr int kEventsInCi = 400000;
constexpr Millis kTick{100};
constexpr size_t kInstances = 4;

// A store that holds the registrations of one zone.
struct FakeStore {
  std::map<BootId, RegistrationRecord> records;
  int64_t revision = 1;

  bool Apply(const RegistrationAction& action) {
    auto it = records.find(action.record.boot);
    int64_t stands = it == records.end() ? 0 : it->second.mod_revision;
    if (stands != action.record.mod_revision) {
      return false;
    }
    ++revision;
    if (action.kind == RegistrationActionKind::kRemove) {
      records.erase(it);
      return true;
    }
    records[action.record.boot] = action.record;
    records[action.record.boot].mod_revision = revision;
    return true;
  }

  std::vector<RegistrationRecord> All() const {
    std::vector<RegistrationRecord> all;
    for (const auto& [boot, record] : records) all.push_back(record);
    return all;
  }
};

struct Process {
  InstanceId instance;
  BootId boot;
  std::unique_ptr<RegistrationKeeper> keeper;
  Millis paused_until;
  bool store_cut = false;
  bool listed = true;
  bool dead = false;
  bool was_registered = false;
  std::map<BootId, Millis> heard;
};

struct Message {
  size_t from = 0;
  size_t to = 0;
  BootId from_boot;
  BootId to_boot;
  Millis deliver_at;
  Millis sent;
  BootId vouched;
  Millis vouched_sent;
  std::vector<SeenMark> marks;
};

class Run {
 public:
  explicit Run(uint64_t seed) : random_(seed) {
    options_.confirmation = Millis(3000);
    options_.isolation = Millis(60000);
    for (size_t i = 0; i < kInstances; ++i) {
      processes_.push_back(Start(i));
    }
    cut_.assign(kInstances, std::vector<bool>(kInstances, false));
  }

  // Returns how often an instance was found confirmed after its removal.
  int Events(int n) {
    for (int i = 0; i < n; ++i) {
      now_ = now_ + Millis(kTick.count() / static_cast<int64_t>(kInstances));
      Disturb();
      Deliver();
      Step(static_cast<size_t>(i) % kInstances);
      Check();
    }
    return broken_;
  }

  int removals() const { return removals_; }
  int confirmed_without_store() const { return confirmed_without_store_; }

 private:
  bool Chance(double p) {
    return std::uniform_real_distribution<double>(0, 1)(random_) < p;
  }
  int64_t Between(int64_t low, int64_t high) {
    return std::uniform_int_distribution<int64_t>(low, high)(random_);
  }

  Process Start(size_t i) {
    Process it;
    it.instance = InstanceId(fmt::format("i{}", i));
    it.boot = BootId(fmt::format("i{}-{}", i, ++boots_));
    it.keeper = std::make_unique<RegistrationKeeper>(it.instance, it.boot,
                                                     ZoneId("a"), options_);
    return it;
  }

  void Disturb() {
    if (!Chance(0.004)) return;
    auto i = static_cast<size_t>(Between(0, kInstances - 1));
    Process& it = processes_[i];
    switch (Between(0, 9)) {
      case 0:
        it.paused_until = now_ + Millis(Between(100, 15000));
        break;
      case 1:
        it.store_cut = !it.store_cut;
        break;
      case 2:
        it.listed = !it.listed;
        break;
      case 3:
        store_out_ = !store_out_;
        break;
      case 4: {
        auto j = static_cast<size_t>(Between(0, kInstances - 1));
        cut_[i][j] = cut_[j][i] = !cut_[i][j];
        break;
      }
      case 5:
        Replace(i);
        break;
      case 6:
      case 7:
        CutPart();
        break;
      default:
        Heal();
    }
  }

  // Some instances together lose the rest, the store and the list.
  void CutPart() {
    std::vector<bool> inside(kInstances);
    for (size_t i = 0; i < kInstances; ++i) inside[i] = Chance(0.5);
    for (size_t i = 0; i < kInstances; ++i) {
      processes_[i].store_cut = inside[i];
      processes_[i].listed = !inside[i];
      for (size_t j = 0; j < kInstances; ++j) {
        cut_[i][j] = inside[i] != inside[j];
      }
    }
  }

  void Heal() {
    store_out_ = false;
    for (Process& it : processes_) {
      it.store_cut = false;
      it.listed = true;
    }
    for (auto& row : cut_) row.assign(kInstances, false);
  }

  // The old process may live on unseen; it is kept to check that it stops.
  void Replace(size_t i) {
    if (Chance(0.5)) {
      processes_[i].dead = true;
    } else {
      processes_[i].store_cut = true;
      zombies_.push_back(std::move(processes_[i]));
      if (zombies_.size() > 3) zombies_.pop_front();
    }
    processes_[i] = Start(i);
  }

  void Step(size_t i) {
    Process& it = processes_[i];
    if (it.paused_until > now_) return;
    Heartbeats(i);
    if (store_out_ || it.store_cut) return;
    it.keeper->OnStoreRead(store_.All(), store_.revision, now_);
    auto sight = [&](const RegistrationRecord& record) {
      return See(i, record);
    };
    for (const RegistrationAction& action : it.keeper->Tick(now_, sight)) {
      bool done = store_.Apply(action);
      if (done && action.kind == RegistrationActionKind::kRemove) {
        ++removals_;
      }
      bool lost = Chance(0.05);
      if (action.kind == RegistrationActionKind::kWriteOwn && (done || lost)) {
        it.keeper->OnOwnWritten(action.record, !lost);
      }
    }
  }

  MemberSight See(size_t i, const RegistrationRecord& record) {
    MemberSight sight;
    auto heard = processes_[i].heard.find(record.boot);
    sight.live = heard != processes_[i].heard.end() &&
                 now_ - heard->second < Millis(1500);
    for (const Process& it : processes_) {
      sight.listed = sight.listed || (it.boot == record.boot && it.listed);
    }
    return sight;
  }

  void Heartbeats(size_t i) {
    for (size_t j = 0; j < kInstances; ++j) {
      if (j == i || cut_[i][j] || Chance(0.1)) continue;
      Message message;
      message.from = i;
      message.to = j;
      message.from_boot = processes_[i].boot;
      message.to_boot = processes_[j].boot;
      message.sent = now_;
      auto newest = newest_sent_.find({processes_[i].boot, processes_[j].boot});
      if (newest != newest_sent_.end() &&
          processes_[i].keeper->VouchesFor(processes_[j].boot)) {
        message.vouched = processes_[j].boot;
        message.vouched_sent = newest->second;
      }
      message.marks = processes_[i].keeper->MarksSeen();
      message.deliver_at =
          now_ + Millis(Chance(0.02) ? Between(0, 8000) : Between(1, 60));
      messages_.push_back(message);
    }
  }

  void Deliver() {
    std::deque<Message> later;
    for (const Message& it : messages_) {
      Process& to = processes_[it.to];
      if (it.deliver_at > now_ || to.paused_until > now_) {
        later.push_back(it);
        continue;
      }
      if (to.boot != it.to_boot) continue;
      to.heard[it.from_boot] = now_;
      Millis& newest = newest_sent_[{to.boot, it.from_boot}];
      newest = std::max(newest, it.sent);
      if (it.vouched == to.boot)
        to.keeper->OnVouch(it.from_boot, it.vouched_sent);
      to.keeper->OnMarksSeen(it.from_boot, it.marks);
    }
    messages_.swap(later);
  }

  void CheckOne(Process* it) {
    bool runs = it->paused_until <= now_ && !it->dead;
    // A paused process is not asked: it looks again before it spends.
    if (!runs || !it->keeper->registered()) return;
    bool stands = store_.records.count(it->boot) != 0;
    if (stands) it->was_registered = true;
    bool confirmed = it->keeper->Confirmed(now_);
    if (confirmed && store_out_) ++confirmed_without_store_;
    if (confirmed && !stands && it->was_registered) ++broken_;
  }

  void Check() {
    for (Process& it : processes_) CheckOne(&it);
    for (Process& it : zombies_) CheckOne(&it);
  }

  RegistrationOptions options_;
  std::mt19937_64 random_;
  Millis now_{1000};
  int boots_ = 0;
  std::vector<Process> processes_;
  std::deque<Process> zombies_;
  std::vector<std::vector<bool>> cut_;
  FakeStore store_;
  bool store_out_ = false;
  std::deque<Message> messages_;
  std::map<std::pair<BootId, BootId>, Millis> newest_sent_;
  int broken_ = 0;
  int removals_ = 0;
  int confirmed_without_store_ = 0;
};

int EventCount() {
  const char* text = std::getenv("BP_EVENTS");
  return text == nullptr ? kEventsInCi : std::atoi(text);
}

RegistrationRecord Record(const char* boot, std::vector<BootId> view,
                          int64_t revision, const char* marked_by = "") {
  return {InstanceId(boot), BootId(boot),      ZoneId("a"),
          std::move(view),  BootId(marked_by), revision};
}

}  // namespace

TEST_CASE(
    "an acknowledgement of an earlier mark does not count for a new one") {
  const std::vector<BootId> view = {BootId("h"), BootId("p"), BootId("q")};
  RegistrationOptions options;
  RegistrationKeeper keeper(InstanceId("p"), BootId("p"), ZoneId("a"), options);
  auto sight = [](const RegistrationRecord& it) {
    return MemberSight{it.boot != BootId("h"), it.boot != BootId("h")};
  };
  int64_t now = 0;
  auto read = [&](RegistrationRecord h, int64_t revision) {
    now += 1000;
    keeper.OnStoreRead(
        {std::move(h), Record("p", view, 2), Record("q", view, 3)}, revision,
        Millis(now));
    bool removes = false;
    for (const RegistrationAction& it : keeper.Tick(Millis(now), sight)) {
      removes = removes || it.kind == RegistrationActionKind::kRemove;
    }
    return removes;
  };
  for (int i = 0; i < 8; ++i) read(Record("h", view, 1), 3);
  read(Record("h", view, 4, "p"), 4);  // Marked,
  keeper.OnMarksSeen(BootId("q"), {{BootId("h"), 4}});
  read(Record("h", view, 5), 5);                        // cleared,
  read(Record("h", view, 6, "p"), 6);                   // and marked anew.
  keeper.OnMarksSeen(BootId("q"), {{BootId("h"), 4}});  // Late.
  for (int i = 0; i < 20; ++i) {
    REQUIRE_FALSE(read(Record("h", view, 6, "p"), 6));
  }
  keeper.OnMarksSeen(BootId("q"), {{BootId("h"), 6}});
  bool removed = false;
  for (int i = 0; i < 20; ++i) {
    removed = read(Record("h", view, 6, "p"), 6) || removed;
  }
  REQUIRE(removed);
}

TEST_CASE("no instance is confirmed after its registration was removed") {
  for (uint64_t seed : {1, 2, 3}) {
    Run run(seed);
    int broken = run.Events(EventCount());
    fmt::print(
        "registration: {} events, seed {}, removals {}, confirmed "
        "without the store {}, broken invariants {}\n",
        EventCount(), seed, run.removals(), run.confirmed_without_store(),
        broken);
    REQUIRE(broken == 0);
    REQUIRE(run.removals() > 10);
    REQUIRE(run.confirmed_without_store() > 10);
  }
}

}  // namespace bilberrypitch
