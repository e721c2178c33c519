// Tests of the generation in force: it only rises, whatever arrives.
#include "config/config_tracker.h"

#include <fmt/format.h>
#include <rapidcheck.h>

#include <catch2/catch.hpp>

#include "config/catalog.h"
#include "config/proposal.h"
#include "schema/document.pb.h"

namespace bilberrypitch {
namespace {

schema::Document DocumentWith(int adapters) {
  schema::Document document;
  for (int i = 0; i < adapters; ++i) {
    schema::Adapter* it = document.add_adapters();
    it->set_name(fmt::format("a{}", i));
    it->set_pool("p");
    it->set_current_version(1);
    schema::AdapterVersion* version = it->add_versions();
    version->set_number(1);
    version->set_source("s");
  }
  document.mutable_fleet()->add_zones()->set_name("z");
  return document;
}

// A chain of accepted generations, with all their chunks.
struct Chain {
  std::vector<std::string> heads;
  ChunkBytes chunks;
};

Chain MakeChain(int n) {
  Chain chain;
  schema::Head head;
  schema::Document before;
  for (int i = 1; i <= n; ++i) {
    schema::Document after = DocumentWith(i);
    Proposal it =
        MakeProposal(i == 1 ? nullptr : &head, i == 1 ? "" : chain.heads.back(),
                     before, after, {}, std::to_string(i), 0);
    for (const ChunkWrite& chunk : it.chunks) {
      chain.chunks[chunk.key.substr(chunk.key.rfind('/') + 1)] = chunk.bytes;
    }
    chain.heads.push_back(it.head_bytes);
    head.ParseFromString(it.head_bytes);
    before = after;
  }
  return chain;
}

void Feed(ConfigTracker* tracker, const Chain& chain, size_t i) {
  tracker->OnHead(chain.heads[i]);
  for (const MissingChunk& it : tracker->Missing()) {
    tracker->OnChunk(it.hash, chain.chunks.at(it.hash));
  }
}

}  // namespace

TEST_CASE("heads in any order, doubled or stale: the generation only rises") {
  Chain chain = MakeChain(12);
  bool ok = rc::check("monotone", [&] {
    ConfigTracker tracker;
    uint64_t highest = 0;
    auto order = *rc::gen::container<std::vector<size_t>>(
        rc::gen::inRange<size_t>(0, chain.heads.size()));
    for (size_t i : order) {
      Feed(&tracker, chain, i);
      highest = std::max<uint64_t>(highest, i + 1);
      RC_ASSERT(tracker.generation() == highest);
    }
  });
  REQUIRE(ok);
}

TEST_CASE("a damaged or newer head leaves the last good document in force") {
  Chain chain = MakeChain(3);
  ConfigTracker tracker;
  Feed(&tracker, chain, 0);
  REQUIRE(tracker.OnHead("\xff\xff") == HeadVerdict::kDamaged);
  REQUIRE(tracker.OnHead("") == HeadVerdict::kDamaged);
  schema::Head newer;
  newer.ParseFromString(chain.heads[2]);
  newer.set_schema_version(kSchemaVersion + 1);
  REQUIRE(tracker.OnHead(newer.SerializeAsString()) ==
          HeadVerdict::kNewerSchema);
  REQUIRE(tracker.generation() == 1);
  REQUIRE(tracker.OnHead(chain.heads[1]) == HeadVerdict::kNeedsChunks);
  for (const MissingChunk& it : tracker.Missing()) {
    REQUIRE(tracker.OnChunk(it.hash, "damaged") == HeadVerdict::kDamaged);
  }
  REQUIRE(tracker.generation() == 1);
  REQUIRE(tracker.catalog()->Resolve("a0").has_value());
}

}  // namespace bilberrypitch
