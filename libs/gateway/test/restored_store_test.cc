// Tests of a store that comes back from an earlier copy: it has lost what it
// acknowledged since, and gives out the same revisions and leases again.
#include <catch2/catch.hpp>
#include <memory>
#include <string>

#include "counting_store.h"
#include "engine_config.h"
#include "fencing_engine.h"
#include "gateway/cluster_records.h"
#include "gateway/part_crash_service.h"
#include "gateway/peer_messenger.h"
#include "gateway_fixture.h"
#include "schema/cluster.pb.h"
#include "serving/part_crash_tracker.h"

namespace bilberrypitch {
namespace {

// The store is away for this long before it comes back.
constexpr Millis kAway{300};
// When the operator and the upstreams have written again what they wrote.
constexpr Millis kWrittenAgainAfter{2000};
// An engine that is owned by nobody has an owner after the time of a lease, the
// takeover delay and the claims.
constexpr Millis kOwnedWithin{12 * 1000};
// Between two requests.
constexpr Millis kPause{50};
// More writes than a restored store has made when the tests look.
constexpr int kManyWrites = 300;
constexpr int kOkStatus = 200;
constexpr int kUnauthorizedStatus = 401;

std::string ConfigText(int version, const std::string& keys,
                       bool has_added_route) {
  std::string added_route =
      R"(,{"name":"added","host":"h","prefix":"/added/","kind":"idempotent",
        "timeoutMs":2000,"goalMs":300,"attempts":2,"service":"s"})";
  return fmt::format(R"({{"version":{},"routes":[
    {{"name":"once","host":"h","prefix":"/once/","kind":"non_idempotent",
      "timeoutMs":2000,"goalMs":300,"attempts":1,"service":"s"}}{}],
    "services":[{{"name":"s"}}],
    "tenants":[{{"name":"w","apiKeys":[{}]}}]}})",
                     version, has_added_route ? added_route : "", keys);
}

void WriteManyTimes(Fixture* fixture) {
  for (int i = 0; i < kManyWrites; ++i) {
    fixture->store.Put("other/key", "value");
  }
}

void ComeBackFromCopy(Fixture* fixture) {
  fixture->store.SetUnavailable(true);
  fixture->WaitFor(kAway);
  fixture->store.RestoreCopy();
  fixture->store.SetUnavailable(false);
}

// Whether a request gets `status` within `bound`.
bool GetsStatus(Fixture* fixture, const std::string& path,
                const std::string& key, int status, Millis bound) {
  Millis end = EventLoop::Now() + bound;
  while (EventLoop::Now() < end) {
    if (fixture->SendRequest(path, key).status == status) {
      return true;
    }
    fixture->WaitFor(kPause);
  }
  return false;
}

bool IsServed(Fixture* fixture, const std::string& adapter, Millis bound) {
  Millis end = EventLoop::Now() + bound;
  while (EventLoop::Now() < end) {
    HttpCall call = fixture->CallTo("/ask/x", "k1");
    call.headers.Add("Model", "m/" + adapter);
    call.headers.Add("Tokens", "10,5");
    if (fixture->Send(std::move(call)).status == kOkStatus) {
      return true;
    }
    fixture->WaitFor(kPause);
  }
  return false;
}

// A second instance, which takes changes from the first one, if there is one.
struct SecondInstance {
  SecondInstance(Fixture* fixture, bool is_started)
      : access(&fixture->loop, &fixture->store) {
    if (is_started) {
      gateway = fixture->StartSecond(&access);
      fixture->WaitUntilReady();
      // Its registration and its choice of a reader.
      fixture->WaitFor(Millis(500));
    }
  }
  CountingStore access;
  std::unique_ptr<Gateway> gateway;
};

}  // namespace

// Guards against: a change of the configuration that is acknowledged after the
// store came back isn't in force in time, since its revision is lower than one
// that the instance knows.
TEST_CASE("a configuration of a restored store is in force in time",
          "[restored]") {
  const bool on_follower = GENERATE(false, true);
  const bool has_lost_version = GENERATE(false, true);
  CAPTURE(on_follower, has_lost_version);
  Fixture fixture;
  fixture.store.Put("op/config", ConfigText(2, "\"k1\"", false));
  fixture.WaitUntilReady();
  SecondInstance second(&fixture, on_follower);
  fixture.store.TakeCopy();
  WriteManyTimes(&fixture);
  if (has_lost_version) {
    fixture.store.Put("op/config", ConfigText(3, "\"k1\",\"k3\"", false));
    REQUIRE(GetsStatus(&fixture, "/once/x", "k3", kOkStatus, Millis(2000)));
  }
  ComeBackFromCopy(&fixture);
  if (has_lost_version) {
    fixture.WaitFor(kWrittenAgainAfter);
    fixture.store.Put("op/config", ConfigText(3, "\"k1\",\"k3\"", false));
    REQUIRE(fixture.SendRequest("/once/x", "k3").status == kOkStatus);
  }
  const ClusterBounds bounds;
  fixture.WaitFor(bounds.config_apply);
  fixture.store.Put("op/config", ConfigText(5, "\"k1\"", true));
  REQUIRE(
      GetsStatus(&fixture, "/added/x", "k1", kOkStatus, bounds.config_apply));
  REQUIRE(fixture.SendRequest("/once/x", "k3").status == kUnauthorizedStatus);
}

// Guards against: an engine that has left gets requests again, because the copy
// still names it.
TEST_CASE("an upstream that left before the store was restored gets no request",
          "[restored]") {
  const bool on_follower = GENERATE(false, true);
  CAPTURE(on_follower);
  Fixture fixture;
  fixture.PutUpstream("i-2", fixture.second.address(), "ready");
  fixture.WaitUntilReady();
  SecondInstance second(&fixture, on_follower);
  fixture.store.TakeCopy();
  WriteManyTimes(&fixture);
  fixture.store.Remove("servers/i-1");
  const ClusterBounds bounds;
  fixture.WaitFor(bounds.drain);
  size_t requests_before = fixture.first.requests().size();
  ComeBackFromCopy(&fixture);
  Millis end = EventLoop::Now() + kWrittenAgainAfter;
  while (EventLoop::Now() < end) {
    fixture.PutUpstream("i-2", fixture.second.address(), "ready");
    REQUIRE(fixture.SendRequest("/once/x").status == kOkStatus);
    fixture.WaitFor(kPause);
  }
  REQUIRE(fixture.first.requests().size() == requests_before);
}

// Guards against: an engine that has started again is replaced by its start
// before, because the copy still names that one.
TEST_CASE("a copy that names an earlier start leaves the living one in use",
          "[restored]") {
  const bool on_follower = GENERATE(false, true);
  CAPTURE(on_follower);
  Fixture fixture;
  fixture.WaitUntilReady();
  SecondInstance second(&fixture, on_follower);
  fixture.PutUpstream("i-1", fixture.first.address(), "ready", 1000);
  fixture.WaitFor(kWrittenAgainAfter);
  fixture.store.TakeCopy();
  WriteManyTimes(&fixture);
  fixture.PutUpstream("i-1", fixture.second.address(), "ready", 2000);
  fixture.WaitFor(kWrittenAgainAfter);
  REQUIRE(fixture.SendRequest("/once/x").status == kOkStatus);
  size_t requests_before = fixture.first.requests().size();
  ComeBackFromCopy(&fixture);
  // Longer than an entry is doubted.
  Millis end = EventLoop::Now() + Millis(6000);
  while (EventLoop::Now() < end) {
    REQUIRE(fixture.SendRequest("/once/x").status == kOkStatus);
    REQUIRE(fixture.first.requests().size() == requests_before);
    fixture.WaitFor(kPause);
  }
}

// Guards against: a draining engine gets requests again, because the copy still
// calls it ready, until it has written again that it drains.
TEST_CASE("an upstream that drains in a restored store gets no request",
          "[restored]") {
  const bool on_follower = GENERATE(false, true);
  CAPTURE(on_follower);
  Fixture fixture;
  fixture.PutUpstream("i-2", fixture.second.address(), "ready");
  fixture.WaitUntilReady();
  SecondInstance second(&fixture, on_follower);
  fixture.store.TakeCopy();
  WriteManyTimes(&fixture);
  fixture.PutUpstream("i-1", fixture.first.address(), "draining");
  const ClusterBounds bounds;
  fixture.WaitFor(bounds.drain);
  size_t requests_before = fixture.first.requests().size();
  ComeBackFromCopy(&fixture);
  Millis end = EventLoop::Now() + kWrittenAgainAfter;
  while (EventLoop::Now() < end) {
    REQUIRE(fixture.SendRequest("/once/x").status == kOkStatus);
    fixture.WaitFor(kPause);
  }
  fixture.PutUpstream("i-1", fixture.first.address(), "draining");
  for (int i = 0; i < 10; ++i) {
    REQUIRE(fixture.SendRequest("/once/x").status == kOkStatus);
    fixture.WaitFor(kPause);
  }
  REQUIRE(fixture.first.requests().size() == requests_before);
}

// Guards against: a revoked key serves again, because the copy still has it.
TEST_CASE("a key that was revoked before the store was restored isn't accepted",
          "[restored]") {
  const bool on_follower = GENERATE(false, true);
  CAPTURE(on_follower);
  Fixture fixture;
  fixture.store.Put("op/config", ConfigText(2, "\"k1\",\"k2\"", false));
  fixture.WaitUntilReady();
  SecondInstance second(&fixture, on_follower);
  REQUIRE(GetsStatus(&fixture, "/once/x", "k2", kOkStatus, Millis(2000)));
  fixture.store.TakeCopy();
  WriteManyTimes(&fixture);
  fixture.store.Put("op/config", ConfigText(3, "\"k1\"", false));
  REQUIRE(
      GetsStatus(&fixture, "/once/x", "k2", kUnauthorizedStatus, Millis(2000)));
  ComeBackFromCopy(&fixture);
  Millis end = EventLoop::Now() + kWrittenAgainAfter;
  while (EventLoop::Now() < end) {
    REQUIRE(fixture.SendRequest("/once/x", "k2").status != kOkStatus);
    fixture.WaitFor(kPause);
  }
  fixture.store.Put("op/config", ConfigText(3, "\"k1\"", false));
  const ClusterBounds bounds;
  fixture.WaitFor(bounds.config_apply);
  REQUIRE(fixture.SendRequest("/once/x", "k1").status == kOkStatus);
  REQUIRE(fixture.SendRequest("/once/x", "k2").status == kUnauthorizedStatus);
}

// Guards against: an instance that starts right after the store came back takes
// the copy for the newest state, and accepts a key that was revoked.
TEST_CASE("a revoked key isn't accepted by an instance that starts afterwards",
          "[restored]") {
  Fixture fixture;
  fixture.store.Put("op/config", ConfigText(2, "\"k1\",\"k2\"", false));
  fixture.WaitUntilReady();
  fixture.store.TakeCopy();
  WriteManyTimes(&fixture);
  fixture.store.Put("op/config", ConfigText(3, "\"k1\"", false));
  REQUIRE(
      GetsStatus(&fixture, "/once/x", "k2", kUnauthorizedStatus, Millis(2000)));
  ComeBackFromCopy(&fixture);
  CountingStore access(&fixture.loop, &fixture.store);
  std::unique_ptr<Gateway> second = fixture.StartSecond(&access);
  Millis end = EventLoop::Now() + kWrittenAgainAfter;
  while (EventLoop::Now() < end) {
    REQUIRE(fixture.SendRequest("/once/x", "k2").status != kOkStatus);
    fixture.WaitFor(kPause);
  }
}

// Guards against: the last instance that knows of a revocation ends before the
// operator has written again, and the next one accepts the revoked key.
TEST_CASE("a lost configuration outlives the instance that knows it",
          "[restored]") {
  Fixture fixture;
  fixture.store.Put("op/config", ConfigText(2, "\"k1\",\"k2\"", false));
  fixture.WaitUntilReady();
  fixture.store.TakeCopy();
  fixture.store.Put("op/config", ConfigText(3, "\"k1\"", false));
  REQUIRE(
      GetsStatus(&fixture, "/once/x", "k2", kUnauthorizedStatus, Millis(2000)));
  ComeBackFromCopy(&fixture);
  fixture.WaitUntil([&] { return fixture.store.Has("bilberrypitch/config"); });
  fixture.KillFirst();
  std::unique_ptr<Gateway> second = fixture.StartSecond(&fixture.store);
  fixture.WaitUntilReady();
  REQUIRE(fixture.SendRequest("/once/x", "k1").status == kOkStatus);
  REQUIRE(fixture.SendRequest("/once/x", "k2").status == kUnauthorizedStatus);
  fixture.store.Put("op/config", ConfigText(3, "\"k1\"", false));
  fixture.WaitUntil([&] { return !fixture.store.Has("bilberrypitch/config"); });
  REQUIRE(fixture.SendRequest("/once/x", "k2").status == kUnauthorizedStatus);
}

// Guards against: the owner of an engine keeps a claim that the store has lost,
// or orders with a fencing token that the engine rejects.
TEST_CASE("an engine gets orders after the store was restored", "[restored]") {
  const bool copy_has_owner = GENERATE(false, true);
  CAPTURE(copy_has_owner);
  Fixture fixture;
  FencingEngine engine;
  fixture.first.SetHandler(
      [&](const HttpRequest& request, Responder* responder) {
        engine.Handle(request, responder);
      });
  std::string entry = engine.Entry(fixture.first.address());
  fixture.store.Put("op/config", kEngineConfig);
  if (!copy_has_owner) {
    fixture.store.TakeCopy();
  }
  WriteManyTimes(&fixture);
  fixture.store.Put("servers/e-1", entry);
  fixture.WaitUntilReady();
  REQUIRE(IsServed(&fixture, "a1", kOwnedWithin));
  if (copy_has_owner) {
    fixture.store.TakeCopy();
  }
  int64_t highest_before = engine.highest_fence();
  REQUIRE(highest_before > 0);
  ComeBackFromCopy(&fixture);
  fixture.WaitFor(kPause);
  fixture.store.Put("servers/e-1", entry);
  REQUIRE(IsServed(&fixture, "a2", kOwnedWithin));
  fixture.WaitUntil([&] {
    return fixture.store.Has("bilberrypitch/members/z/m1") &&
           fixture.store.Has("bilberrypitch/owners/engine/e-1");
  });
  REQUIRE(IsServed(&fixture, "a3", kOwnedWithin));
  REQUIRE(engine.rejected_orders() == 0);
  REQUIRE(engine.lowest_fence_after(highest_before) > highest_before);
}

// Guards against: an owner that knows nothing of the time before orders with a
// fencing token that the engine rejects, as revisions are given out again.
TEST_CASE("fencing tokens rise when a restored store has another owner",
          "[restored]") {
  Fixture fixture;
  FencingEngine engine;
  fixture.first.SetHandler(
      [&](const HttpRequest& request, Responder* responder) {
        engine.Handle(request, responder);
      });
  std::string entry = engine.Entry(fixture.first.address());
  fixture.store.Put("op/config", kEngineConfig);
  fixture.store.Put("servers/e-1", entry);
  fixture.store.TakeCopy();
  WriteManyTimes(&fixture);
  fixture.WaitUntilReady();
  REQUIRE(IsServed(&fixture, "a1", kOwnedWithin));
  int64_t highest_before = engine.highest_fence();
  ComeBackFromCopy(&fixture);
  fixture.KillFirst();
  std::unique_ptr<Gateway> second = fixture.StartSecond(&fixture.store);
  fixture.WaitUntilReady();
  REQUIRE(IsServed(&fixture, "a2", kOwnedWithin));
  REQUIRE(engine.rejected_orders() == 0);
  REQUIRE(engine.lowest_fence_after(highest_before) > highest_before);
}

// Guards against: the record of an instance stays bound to a lease that the
// instance doesn't hold, and is lost once the lease of the copy ends.
TEST_CASE("an instance registers with a lease of the restored store",
          "[restored]") {
  const bool copy_has_lease = GENERATE(false, true);
  CAPTURE(copy_has_lease);
  const std::string key = "bilberrypitch/members/z/m1";
  Fixture fixture;
  if (!copy_has_lease) {
    fixture.store.TakeCopy();
  }
  fixture.WaitUntilReady();
  fixture.WaitUntil([&] { return fixture.store.Has(key); });
  int64_t lease_before = fixture.store.LeaseOf(key);
  if (copy_has_lease) {
    fixture.store.TakeCopy();
  }
  ComeBackFromCopy(&fixture);
  fixture.WaitUntil([&] { return fixture.store.Has(key); });
  if (copy_has_lease) {
    fixture.WaitUntil(
        [&] { return fixture.store.LeaseOf(key) != lease_before; });
    fixture.store.ExpireLease(lease_before);
  }
  fixture.WaitFor(Millis(300));
  REQUIRE(fixture.store.Has(key));
}

namespace {

// Number of peers that the instance at `ready_address` knows.
int PeerCount(Fixture* fixture, const std::string& ready_address) {
  const std::string name = "bilberrypitch_peers ";
  HttpCall call;
  call.address = ready_address;
  call.target = "/metrics";
  std::string page = fixture->Send(std::move(call)).body;
  size_t position = page.find("\n" + name);
  REQUIRE(position != std::string::npos);
  return std::stoi(page.substr(position + 1 + name.size()));
}

}  // namespace

// Guards against: an instance takes itself for the only one, and all of a rate
// and of the retry budget for its own, because the store has lost its peers.
TEST_CASE("peers that only the store has lost are kept for the time of a lease",
          "[restored]") {
  Fixture fixture;
  const std::string first_address = fixture.ready_address();
  fixture.WaitUntilReady();
  fixture.store.TakeCopy();
  SecondInstance second(&fixture, true);
  REQUIRE(PeerCount(&fixture, first_address) == 1);
  second.access.SetCut(true);  // It can't register again.
  ComeBackFromCopy(&fixture);
  const Millis lease_ttl(6000);
  // Until the first instance has heard of the restored store, and a margin.
  const Millis noticed_within(2000);
  Millis end = EventLoop::Now() + lease_ttl - kAway;
  while (EventLoop::Now() < end) {
    REQUIRE(PeerCount(&fixture, first_address) == 1);
    fixture.WaitFor(kPause);
  }
  fixture.WaitFor(noticed_within);
  REQUIRE(PeerCount(&fixture, first_address) == 0);
}

namespace {

// The quarantine service of one instance, without peers.
struct Quarantines {
  Quarantines(Fixture* test_fixture, const std::string& address)
      : fixture(test_fixture),
        peers(&fixture->loop,
              {MachineId("m9"), BootId("b"), ZoneId("z"), address},
              [](const MachineId&, const schema::PeerItem&) {}),
        service(&fixture->loop, MachineId("m9"), &tracker, &fixture->store,
                &peers, [](const CrashId&, std::function<void(bool)>) {}) {}

  // What the store's record of the part says.
  void SeeRecord(StoreRevision revision) {
    StoreItem item;
    item.key = QuarantinedPartKey(part);
    item.revision = revision;
    service.OnStoreItem(item);
  }
  bool IsQuarantined() {
    return tracker.IsQuarantined({part}, EventLoop::Now());
  }

  const PartId part{0xab};
  Fixture* const fixture;
  PartCrashTracker tracker;
  PeerMessenger peers;
  PartCrashService service;
};

}  // namespace

// Guards against: a prompt part that crashes engines reaches them again, as the
// store has lost its record.
TEST_CASE("a quarantine that the store has lost is written again",
          "[restored]") {
  Fixture fixture;
  Quarantines quarantines(&fixture, LocalAddress(FreePort()));
  quarantines.SeeRecord({0, 300});
  REQUIRE(quarantines.IsQuarantined());
  quarantines.service.OnFullRead({}, 1);
  REQUIRE(quarantines.IsQuarantined());
  fixture.WaitUntil(
      [&] { return fixture.store.Has(QuarantinedPartKey(quarantines.part)); });
  // Within an era, a missing record ends it.
  quarantines.SeeRecord({1, 5});
  quarantines.service.OnFullRead({}, 1);
  REQUIRE_FALSE(quarantines.IsQuarantined());
}

// Guards against: a part that proved sound is rejected again, as the copy still
// has its record.
TEST_CASE("a quarantine that ended doesn't return with a copy", "[restored]") {
  Fixture fixture;
  Quarantines quarantines(&fixture, LocalAddress(FreePort()));
  const std::string key = QuarantinedPartKey(quarantines.part);
  fixture.store.Put(key, "");
  StoreRevision revision(0, fixture.store.revision());
  quarantines.SeeRecord(revision);
  quarantines.service.OnResponseBegun({quarantines.part});
  REQUIRE_FALSE(quarantines.IsQuarantined());
  fixture.WaitUntil([&] { return !fixture.store.Has(key); });
  fixture.store.Put(key, "");
  StoreRevision in_copy(1, fixture.store.revision());
  quarantines.SeeRecord(in_copy);
  quarantines.service.OnFullRead({key}, 1);
  REQUIRE_FALSE(quarantines.IsQuarantined());
  fixture.WaitUntil([&] { return !fixture.store.Has(key); });
  // One that is declared since counts.
  quarantines.SeeRecord({1, in_copy.number + 10});
  REQUIRE(quarantines.IsQuarantined());
}

}  // namespace bilberrypitch
