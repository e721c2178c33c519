// Slopes.
#include "slopes.h"

#include <fmt/format.h>
#include <malloc.h>

#include <chrono>
#include <fstream>
#include <functional>
#include <memory>
#include <vector>

#include "base/json.h"
#include "config/catalog.h"
#include "config/proposal.h"
#include "dispatch/fair_queue.h"
#include "limits/token_account.h"
#include "membership/member_table.h"
#include "membership/registration.h"
#include "residency/residency_holder.h"
#include "residency/zone_leader.h"
#include "schema/document.pb.h"
#include "schema/peer.pb.h"

namespace bilberrypitch::lab {
namespace {

struct Point {
  std::string measure;
  std::string unit;
  double size = 0;
  double value = 0;
};

class Points {
 public:
  void Add(std::string measure, std::string unit, double size, double value) {
    fmt::print("{:<44} {:>8} {:>14.3f} {}\n", measure, size, value, unit);
    all_.push_back({std::move(measure), std::move(unit), size, value});
  }
  std::string Json() const {
    json::array rows;
    for (const Point& it : all_) {
      rows.push_back({{"measure", it.measure},
                      {"unit", it.unit},
                      {"size", it.size},
                      {"value", it.value}});
    }
    return json::serialize(rows);
  }

 private:
  std::vector<Point> all_;
};

double HeapBytes() { return static_cast<double>(mallinfo2().uordblks); }

// Microseconds for one call, over `n` calls.
double Microseconds(int n, const std::function<void(int)>& call) {
  auto begun = std::chrono::steady_clock::now();
  for (int i = 0; i < n; ++i) call(i);
  auto took = std::chrono::steady_clock::now() - begun;
  return std::chrono::duration<double, std::micro>(took).count() / n;
}

schema::Document MakeDocument(int adapters) {
  schema::Document document;
  for (int i = 0; i < adapters; ++i) {
    schema::Adapter* it = document.add_adapters();
    it->set_name(fmt::format("club-coach-{:06}", i));
    it->set_workspace(fmt::format("workspace-{}", i % 200));
    it->set_pool("pijl-taal");
    it->set_current_version(1);
    schema::AdapterVersion* version = it->add_versions();
    version->set_number(1);
    version->set_source(fmt::format("weights/club-coach-{:06}/1", i));
  }
  document.mutable_fleet()->add_zones()->set_name("a");
  return document;
}

ChunkBytes ChunksOf(const Proposal& proposal) {
  ChunkBytes chunks;
  for (const ChunkWrite& it : proposal.chunks) {
    chunks[it.key.substr(it.key.rfind('/') + 1)] = it.bytes;
  }
  return chunks;
}

void MeasureCatalog(Points* points) {
  for (int n : {5000, 20000, 74000}) {
    schema::Document document = MakeDocument(n);
    Proposal first = MakeProposal(nullptr, "", {}, document, {}, "one", 0);
    ChunkBytes chunks = ChunksOf(first);
    schema::Head head;
    head.ParseFromString(first.head_bytes);
    double bytes = 0;
    for (const auto& [hash, data] : chunks) {
      bytes += static_cast<double>(data.size());
    }
    double before = HeapBytes();
    std::shared_ptr<const Catalog> catalog;
    double whole = Microseconds(
        1, [&](int) { catalog = Catalog::Build(head, chunks, nullptr); });
    points->Add("catalog memory", "bytes", n, HeapBytes() - before);
    points->Add("document chunks", "bytes", n, bytes);
    points->Add("head", "bytes", n,
                static_cast<double>(first.head_bytes.size()));
    points->Add("catalog built whole", "us", n, whole);
    schema::Document after = document;
    after.mutable_adapters(1)->mutable_versions(0)->set_source("other");
    Proposal second =
        MakeProposal(&head, first.head_bytes, document, after, {}, "two", 0);
    double changed = 0;
    for (const ChunkWrite& it : second.chunks) {
      changed += static_cast<double>(it.bytes.size());
      chunks[it.key.substr(it.key.rfind('/') + 1)] = it.bytes;
    }
    schema::Head next;
    next.ParseFromString(second.head_bytes);
    points->Add("change of one adapter, chunk bytes", "bytes", n, changed);
    points->Add("catalog built after that change", "us", n,
                Microseconds(5, [&](int) {
                  Catalog::Build(next, chunks, catalog.get());
                }));
    points->Add("resolve an adapter", "us", n, Microseconds(20000, [&](int i) {
                  catalog->Resolve(fmt::format("club-coach-{:06}", i % n));
                }));
  }
}

void MeasureResidency(Points* points) {
  for (int engines : {10, 40, 131}) {
    constexpr int kSlots = 16;
    LeaderOptions options;
    options.loads_per_s = 1e9;
    options.loads_in_flight = 1u << 30;
    Millis now(1000);
    ZoneLeader leader(ZoneId("a"), 1, BootId("m"), options, true, now);
    std::vector<EngineSpec> specs;
    specs.reserve(static_cast<size_t>(engines));
    for (int i = 0; i < engines; ++i) {
      specs.push_back({UpstreamId(fmt::format("engine-{}", i)), PoolId("p"),
                       kSlots, 8, false, true});
    }
    leader.SetEngines(specs);
    for (const EngineSpec& it : specs) leader.OnListing(it.id, {}, now);
    ResidencyHolder holder;
    holder.OnTable(leader.Table());
    leader.OnReport(BootId("m"), holder.MakeReport(ZoneId("a")), now);
    auto pool_of = [](const AdapterVersionRef&) { return PoolId("p"); };
    int adapters = engines * kSlots;
    std::vector<DemandReport> demand;
    demand.reserve(static_cast<size_t>(adapters));
    for (int i = 0; i < adapters; ++i) {
      demand.push_back(
          {{AdapterId(fmt::format("club-coach-{:06}", i)), 1}, 1, {}, 0});
    }
    double heap = HeapBytes();
    for (int round = 0; round < adapters + 5; ++round) {
      now = now + Millis(100);
      leader.OnDemand(BootId("m"), demand, now);
      std::vector<Order> orders = leader.Tick(now, pool_of);
      for (const Order& it : orders) {
        leader.OnOrderResult(it.id, OrderResult::kDone, now);
      }
      if (leader.Table().offered_size() == adapters) break;
    }
    points->Add("leader memory", "bytes", adapters, HeapBytes() - heap);
    demand.resize(static_cast<size_t>(engines));
    points->Add("leader tick, one demand an engine", "us", adapters,
                Microseconds(20, [&](int) {
                  now = now + Millis(100);
                  leader.OnDemand(BootId("m"), demand, now);
                  leader.Tick(now, pool_of);
                }));
    schema::ResidencyTable table = leader.Table();
    points->Add("residency table", "bytes", adapters,
                static_cast<double>(table.ByteSizeLong()));
    points->Add(
        "holder takes a table", "us", adapters, Microseconds(20, [&](int i) {
          table.set_sequence(table.sequence() + 1 + static_cast<uint64_t>(i));
          holder.OnTable(table);
        }));
    points->Add(
        "residency report", "bytes", adapters,
        static_cast<double>(holder.MakeReport(ZoneId("a")).ByteSizeLong()));
  }
}

void MeasureMembership(Points* points) {
  for (int n : {10, 100, 360}) {
    HeartbeatFacts self;
    self.instance = InstanceId("self");
    self.boot = BootId("self-000000000000");
    self.zone = ZoneId("zone-0");
    double heap = HeapBytes();
    MemberTable table(self, Millis(1500));
    std::vector<HeartbeatFacts> peers;
    for (int i = 0; i < n; ++i) {
      HeartbeatFacts it;
      it.instance = InstanceId(fmt::format("entry-{}", i));
      it.boot = BootId(fmt::format("entry-{}-0123456789ab", i));
      it.zone = ZoneId(fmt::format("zone-{}", i % 16));
      it.peer_address = "10.20.30.40:7000";
      table.OnHeartbeat(it, Millis(0));
      peers.push_back(it);
    }
    points->Add("member table memory", "bytes", n, HeapBytes() - heap);
    points->Add("take a heartbeat", "us", n, Microseconds(5000, [&](int i) {
                  table.OnHeartbeat(peers[static_cast<size_t>(i % n)],
                                    Millis(i));
                }));
    schema::Envelope envelope;
    envelope.set_from("entry-100");
    envelope.set_from_zone("zone-0");
    envelope.set_from_boot("entry-100-0123456789ab");
    schema::Heartbeat* heartbeat = envelope.mutable_heartbeat();
    heartbeat->set_generation(100000);
    heartbeat->set_address("10.20.30.40:7000");
    heartbeat->set_vouched_boot("entry-101-0123456789ab");
    heartbeat->set_vouched_sent_ms(123456789);
    heartbeat->set_sent_ms(123456789);
    points->Add("heartbeat", "bytes", n,
                static_cast<double>(envelope.ByteSizeLong()));
    std::vector<RegistrationRecord> records;
    int in_zone = std::max(1, n / 16);
    for (int i = 0; i < in_zone; ++i) {
      RegistrationRecord record;
      record.boot = BootId(fmt::format("entry-{}-0123456789ab", i));
      record.zone = ZoneId("zone-0");
      for (int j = 0; j < in_zone; ++j) {
        record.view.push_back(BootId(fmt::format("entry-{}-0123456789ab", j)));
      }
      record.mod_revision = i + 1;
      records.push_back(std::move(record));
    }
    RegistrationKeeper keeper(InstanceId("entry-0"), records[0].boot,
                              ZoneId("zone-0"), {});
    points->Add("read and judge the zone's registrations", "us", n,
                Microseconds(500, [&](int i) {
                  Millis now(1000 + i * 1000);
                  keeper.OnStoreRead(records, 1000 + i, now);
                  keeper.Tick(now, [](const RegistrationRecord&) {
                    return MemberSight{true, true};
                  });
                }));
  }
}

void MeasureLimits(Points* points) {
  for (int n : {5, 50, 200}) {
    double heap = HeapBytes();
    std::vector<TokenAccount> accounts(static_cast<size_t>(n));
    for (TokenAccount& it : accounts) {
      it.SetPart(100, 1000, Millis(0));
      for (int peer = 0; peer < 22; ++peer) {
        it.OnTotals(BootId(fmt::format("entry-{}-0123456789ab", peer)),
                    {1, 0, 0, 0}, Millis(1), Millis(1000));
      }
    }
    points->Add("accounts of workspaces, 22 peers, memory", "bytes", n,
                HeapBytes() - heap);
    points->Add("tick of all accounts", "us", n, Microseconds(200, [&](int i) {
                  for (TokenAccount& it : accounts) it.Tick(Millis(1000 + i));
                }));
    points->Add("reserve tokens", "us", n, Microseconds(20000, [&](int i) {
                  accounts[static_cast<size_t>(i % n)].Reserve(
                      0.001, Millis(2000 + i));
                }));
    schema::TokenTransfer transfer;
    transfer.set_to_boot("entry-1-0123456789ab");
    transfer.set_receiver_ms(123456789);
    for (int i = 0; i < n; ++i) {
      schema::TokenPair* pair = transfer.add_pairs();
      pair->set_workspace(fmt::format("workspace-{}", i));
      pair->set_moved_total(1234.5);
      pair->set_returned_total(1234.5);
      pair->set_wanted(12.5);
    }
    points->Add("token transfer with all workspaces", "bytes", n,
                static_cast<double>(transfer.ByteSizeLong()));
  }
}

void MeasureQueue(Points* points) {
  for (int n : {10, 100, 1000}) {
    FairQueue queue(100000);
    for (int i = 0; i < n; ++i) {
      QueuedRequest it;
      it.id = RequestId(fmt::format("request-{}", i));
      it.workspace = WorkspaceId(fmt::format("workspace-{}", i % 200));
      it.cost_tokens = 100;
      it.ref = {AdapterId(fmt::format("coach-{}", i % 50)), 1};
      it.deadline = Millis(100000);
      queue.Push(std::move(it));
    }
    points->Add("queue: pop and return", "us", n, Microseconds(500, [&](int) {
                  auto it = queue.Pop([](const auto&) { return true; });
                  queue.Return(std::move(*it));
                }));
    points->Add("queue: nothing ready", "us", n, Microseconds(500, [&](int) {
                  queue.Pop([](const auto&) { return false; });
                }));
  }
}

}  // namespace

int MeasureSlopes(const std::string& out) {
  Points points;
  MeasureCatalog(&points);
  MeasureResidency(&points);
  MeasureMembership(&points);
  MeasureLimits(&points);
  MeasureQueue(&points);
  std::ofstream(out + ".json") << points.Json() << "\n";
  return 0;
}

}  // namespace bilberrypitch::lab
