// Distribution of the document.
#include "node/config_service.h"

#include "base/hash.h"
#include "base/log.h"
#include "config/catalog.h"
#include "config/proposal.h"
#include "membership/pause_detector.h"
#include "node/metrics.h"
#include "schema/document.pb.h"
#include "schema/peer.pb.h"
#include "transport/store_client.h"

namespace bilberrypitch {
namespace {

constexpr Millis kReadPeriod{1000};
constexpr Millis kReadPeriodWithoutWatch{4000};
// Reads of many instances are spread by up to this, also after an outage.
constexpr int64_t kSpreadMs = 400;
constexpr Millis kWatchRetry{1000};
constexpr Millis kPeerRequestPeriod{100};
constexpr size_t kLargestReplyBytes = 2 << 20;

}  // namespace

ConfigService::ConfigService(const NodeContext& context, InForce in_force)
    : context_(context), in_force_(std::move(in_force)) {}

std::shared_ptr<const Catalog> ConfigService::catalog() const {
  std::lock_guard lock(lock_);
  return catalog_;
}

uint64_t ConfigService::generation() const {
  std::lock_guard lock(lock_);
  return tracker_.generation();
}

void ConfigService::Tick(Millis now, bool watches) {
  if (now.count() >= next_read_ms_ && !reading_.exchange(true)) {
    int64_t spread = static_cast<int64_t>(
        StableHash(context_.boot.str(), std::to_string(now.count())) %
        kSpreadMs);
    Millis period =
        watches || generation() == 0 ? kReadPeriod : kReadPeriodWithoutWatch;
    next_read_ms_ = now.count() + period.count() + spread;
    CheckHead(now);
  }
  if (watches && now.count() >= next_watch_ms_ && !watching_.exchange(true)) {
    StartWatch();
  }
}

void ConfigService::StartWatch() {
  context_.store->Watch(
      kHeadKey, [this] { next_read_ms_ = 0; },
      [this] {
        next_watch_ms_ = BootTimeNow().count() + kWatchRetry.count();
        watching_ = false;
      });
}

// The head is large in a large fleet: it is read only when it was changed.
void ConfigService::CheckHead(Millis now) {
  context_.store->ReadRevision(kHeadKey, [this, now](StoreReadResult result) {
    bool changed = result.status == StoreStatus::kOk &&
                   !result.entries.empty() &&
                   result.entries[0].mod_revision != head_revision_;
    if (changed) {
      ReadHead(now);
      return;
    }
    if (result.status == StoreStatus::kOk) {
      store_confirmed_ = now.count();
    }
    reading_ = false;
  });
}

void ConfigService::ReadHead(Millis now) {
  context_.store->Read(kHeadKey, [this, now](StoreReadResult result) {
    reading_ = false;
    if (result.status != StoreStatus::kOk) {
      return;
    }
    if (result.entries.empty()) {
      store_confirmed_ = now.count();
      return;
    }
    HeadVerdict verdict;
    {
      std::lock_guard lock(lock_);
      verdict = tracker_.OnHead(result.entries[0].value);
    }
    Verdict(verdict, "store");
    if (verdict == HeadVerdict::kNeedsChunks) {
      ReadMissing();  // Looked at again until the chunks have come.
    } else {
      store_confirmed_ = now.count();
      head_revision_ = result.entries[0].mod_revision;
    }
  });
}

void ConfigService::ReadMissing() {
  std::vector<MissingChunk> missing;
  {
    std::lock_guard lock(lock_);
    missing = tracker_.Missing();
  }
  for (const MissingChunk& it : missing) {
    context_.store->Read(it.key, [this, it](StoreReadResult result) {
      if (result.status != StoreStatus::kOk || result.entries.empty()) {
        return;
      }
      HeadVerdict verdict;
      {
        std::lock_guard lock(lock_);
        verdict = tracker_.OnChunk(it.hash, result.entries[0].value);
      }
      Verdict(verdict, "store");
    });
  }
}

void ConfigService::Verdict(HeadVerdict verdict, const char* source) {
  if (verdict == HeadVerdict::kDamaged) {
    context_.metrics->Add("config_refused_total", "why=\"damaged\"");
    LogWarning("config", "A damaged document from the {} was refused.", source);
  } else if (verdict == HeadVerdict::kNewerSchema) {
    context_.metrics->Add("config_refused_total", "why=\"newer_schema\"");
    LogWarning("config", "A document of a newer schema was refused.");
  } else if (verdict == HeadVerdict::kInForce) {
    std::shared_ptr<const Catalog> catalog;
    {
      std::lock_guard lock(lock_);
      catalog = tracker_.catalog();
      bool newer =
          catalog_ == nullptr || catalog->generation() > catalog_->generation();
      if (newer) {
        catalog_ = catalog;
      }
    }
    context_.metrics->Set("config_generation", "",
                          static_cast<double>(catalog->generation()));
    LogInfo("config", "Generation {} from the {} is in force.",
            catalog->generation(), source);
    in_force_(catalog);
  }
}

void ConfigService::OnPeerGeneration(const std::string& peer_address,
                                     uint64_t peer_generation, Millis now) {
  if (peer_generation <= generation() || now.count() < next_peer_request_ms_) {
    return;
  }
  next_peer_request_ms_ = now.count() + kPeerRequestPeriod.count();
  schema::Envelope envelope;
  schema::ChunkRequest* request = envelope.mutable_chunk_request();
  request->set_head(true);
  {
    std::lock_guard lock(lock_);
    for (const MissingChunk& it : tracker_.Missing()) {
      request->add_hashes(it.hash);
    }
  }
  context_.send(peer_address, std::move(envelope));
}

void ConfigService::OnChunkRequest(const std::string& peer_address,
                                   const schema::ChunkRequest& request) {
  schema::Envelope envelope;
  schema::ChunkReply* reply = envelope.mutable_chunk_reply();
  {
    std::lock_guard lock(lock_);
    if (tracker_.generation() == 0) {
      return;
    }
    if (request.head()) {
      reply->set_head(tracker_.head_bytes());
    }
    size_t bytes = 0;
    for (const std::string& hash : request.hashes()) {
      auto it = tracker_.chunks().find(hash);
      if (it == tracker_.chunks().end() || bytes > kLargestReplyBytes) {
        continue;
      }
      bytes += it->second.size();
      schema::ChunkData* chunk = reply->add_chunks();
      chunk->set_hash(hash);
      chunk->set_data(it->second);
    }
  }
  context_.send(peer_address, std::move(envelope));
}

void ConfigService::OnChunkReply(const std::string& peer_address,
                                 const schema::ChunkReply& reply) {
  HeadVerdict verdict = HeadVerdict::kNotNewer;
  schema::Envelope next;
  {
    std::lock_guard lock(lock_);
    if (!reply.head().empty()) {
      verdict = tracker_.OnHead(reply.head());
    }
    for (const schema::ChunkData& it : reply.chunks()) {
      HeadVerdict chunk = tracker_.OnChunk(it.hash(), it.data());
      verdict = chunk == HeadVerdict::kNotNewer ? verdict : chunk;
    }
    for (const MissingChunk& it : tracker_.Missing()) {
      next.mutable_chunk_request()->add_hashes(it.hash);
    }
  }
  Verdict(verdict, "peer");
  bool progress = !reply.head().empty() || !reply.chunks().empty();
  if (next.has_chunk_request() && progress) {
    context_.send(peer_address, std::move(next));
  }
}

}  // namespace bilberrypitch
