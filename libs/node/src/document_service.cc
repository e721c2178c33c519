// Acceptance of changes.
#include "node/document_service.h"

#include <fmt/format.h>

#include <boost/leaf/error.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <chrono>
#include <thread>

#include "base/hash.h"
#include "config/chunks.h"
#include "config/document_check.h"
#include "schema/document.pb.h"
#include "transport/store_client.h"

namespace bilberrypitch {
namespace {

namespace leaf = boost::leaf;

constexpr int kTries = 5;
constexpr std::chrono::milliseconds kRetryPause{50};
constexpr size_t kAttemptIdBytes = 12;

leaf::error_id Fail(ErrorKind kind, std::string detail,
                    NotRun not_run = NotRun::kTrue) {
  return leaf::new_error(Error{kind, std::move(detail), not_run});
}

int64_t UnixMs() {
  auto now = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

}  // namespace

// The head as it was read, with its document.
struct DocumentService::Stored {
  bool exists = false;
  int64_t revision = 0;
  std::string bytes;
  schema::Head head;
  schema::Document document;
};

leaf::result<void> DocumentService::Load(Stored* stored) {
  StoreReadResult result = context_.store->ReadNow(kHeadKey);
  if (result.status != StoreStatus::kOk) {
    return Fail(ErrorKind::kStoreUnavailable, "The store does not answer.");
  }
  if (result.entries.empty()) {
    return {};
  }
  stored->exists = true;
  stored->revision = result.entries[0].mod_revision;
  stored->bytes = result.entries[0].value;
  if (!stored->head.ParseFromString(stored->bytes) ||
      stored->head.schema_version() > kSchemaVersion) {
    return Fail(ErrorKind::kConflict,
                "The stored document is damaged or of a newer schema.");
  }
  ChunkBytes chunks;
  for (const schema::ChunkRef& it : stored->head.chunks()) {
    StoreReadResult chunk = context_.store->ReadNow(it.key());
    if (chunk.status != StoreStatus::kOk || chunk.entries.empty()) {
      return Fail(ErrorKind::kStoreUnavailable, "A part can't be read.");
    }
    chunks[it.hash()] = chunk.entries[0].value;
  }
  if (!JoinDocument(stored->head, chunks, &stored->document)) {
    return Fail(ErrorKind::kConflict, "The stored document is damaged.");
  }
  return {};
}

leaf::result<uint64_t> DocumentService::Read(schema::Document* document) {
  Stored stored;
  BOOST_LEAF_CHECK(Load(&stored));
  *document = stored.document;
  return stored.head.generation();
}

leaf::result<AcceptedChange> DocumentService::Put(
    const schema::Document& document, uint64_t base,
    const ChangeAuthor& author) {
  Stored stored;
  BOOST_LEAF_CHECK(Load(&stored));
  if (stored.head.generation() != base) {
    return Fail(
        ErrorKind::kConflict,
        fmt::format("Generation {} by {} was accepted since.",
                    stored.head.generation(), stored.head.record().author()));
  }
  return Accept(stored, document, author);
}

leaf::result<AcceptedChange> DocumentService::Apply(
    const Change& change, const ChangeAuthor& author) {
  for (int i = 0; i < kTries; ++i) {
    Stored stored;
    BOOST_LEAF_CHECK(Load(&stored));
    schema::Document document = stored.document;
    BOOST_LEAF_CHECK(change(&document));
    bool conflict = false;
    auto accepted = leaf::try_handle_some(
        [&] { return Accept(stored, document, author); },
        [&](const Error& error) -> leaf::result<AcceptedChange> {
          conflict = error.kind == ErrorKind::kConflict;
          return leaf::new_error(error);
        });
    if (accepted || !conflict) {
      return accepted;
    }
  }
  return Fail(ErrorKind::kConflict, "Others change the document all the time.");
}

leaf::result<void> DocumentService::WriteChunks(const Proposal& proposal) {
  for (const ChunkWrite& it : proposal.chunks) {
    if (it.bytes.size() > kLargestChunkBytes) {
      return Fail(ErrorKind::kInvalidDocument,
                  "A section is too large for one value of the store.");
    }
    StoreTransaction transaction;
    transaction.writes.push_back({it.key, it.bytes, false, 0});
    // Written again after a lost answer: the key is this proposal's alone.
    StoreStatus status = StoreStatus::kUnavailable;
    for (int i = 0; i < kTries && status != StoreStatus::kOk; ++i) {
      status = context_.store->CommitNow(transaction);
    }
    if (status != StoreStatus::kOk) {
      return Fail(ErrorKind::kStoreUnavailable, "The store does not answer.");
    }
  }
  return {};
}

leaf::result<AcceptedChange> DocumentService::Accept(
    const Stored& stored, const schema::Document& document,
    const ChangeAuthor& author) {
  std::vector<FieldError> errors = CheckDocument(document);
  if (!errors.empty()) {
    return Fail(ErrorKind::kInvalidDocument, FormatErrors(errors));
  }
  Proposal proposal = MakeProposal(
      stored.exists ? &stored.head : nullptr, stored.bytes, stored.document,
      document, author, RandomHex(kAttemptIdBytes), UnixMs());
  if (proposal.head_bytes.size() > kLargestChunkBytes) {
    return Fail(ErrorKind::kInvalidDocument, "The document is too large.");
  }
  BOOST_LEAF_CHECK(WriteChunks(proposal));
  StoreTransaction transaction;
  transaction.conditions.push_back({kHeadKey, stored.revision});
  transaction.writes.push_back({kHeadKey, proposal.head_bytes, false, 0});
  transaction.writes.push_back(
      {AuditKey(proposal.generation), proposal.audit_bytes, false, 0});
  StoreStatus status = context_.store->CommitNow(transaction);
  bool settled = status == StoreStatus::kOk ||
                 (status == StoreStatus::kUnknown && Settle(proposal));
  if (settled) {
    CollectDropped(proposal.generation);
    return AcceptedChange{proposal.generation, proposal.changes};
  }
  if (status == StoreStatus::kConflict) {
    return Fail(
        ErrorKind::kConflict,
        "Another change was accepted meanwhile; read it and try again.");
  }
  if (status == StoreStatus::kUnavailable) {
    return Fail(ErrorKind::kStoreUnavailable, "The store does not answer.");
  }
  return Fail(ErrorKind::kOutcomeUnknown,
              fmt::format("The store's answer was lost. The audit trail tells "
                          "whether attempt {} was accepted.",
                          proposal.attempt_id),
              NotRun::kUnknown);
}

// Whether the audit record of the generation is this attempt's. A write that
// was lost on its way could still act later, so "no" is not said for sure.
bool DocumentService::Settle(const Proposal& proposal) {
  for (int i = 0; i < kTries; ++i) {
    StoreReadResult result =
        context_.store->ReadNow(AuditKey(proposal.generation));
    schema::AuditRecord record;
    if (result.status == StoreStatus::kOk && !result.entries.empty() &&
        record.ParseFromString(result.entries[0].value)) {
      return record.attempt_id() == proposal.attempt_id;
    }
    std::this_thread::sleep_for(kRetryPause);
  }
  return false;
}

// Removes the chunks that an old change let go. Only that generation ever
// named them, and no proposal made on a current head can.
void DocumentService::CollectDropped(uint64_t generation) {
  if (generation <= kGenerationsKept) {
    return;
  }
  StoreReadResult result =
      context_.store->ReadNow(AuditKey(generation - kGenerationsKept));
  schema::AuditRecord record;
  if (result.status != StoreStatus::kOk || result.entries.empty() ||
      !record.ParseFromString(result.entries[0].value)) {
    return;
  }
  StoreTransaction transaction;
  for (const std::string& key : record.dropped_chunks()) {
    StoreWrite write;
    write.key = key;
    write.remove = true;
    transaction.writes.push_back(write);
  }
  if (!transaction.writes.empty()) {
    context_.store->CommitNow(transaction);
  }
}

leaf::result<std::vector<schema::AuditRecord>> DocumentService::Audit() {
  StoreReadResult result = context_.store->ReadPrefixNow(kAuditPrefix);
  if (result.status != StoreStatus::kOk) {
    return Fail(ErrorKind::kStoreUnavailable, "The store does not answer.");
  }
  std::vector<schema::AuditRecord> records;
  for (const StoreEntry& it : result.entries) {
    schema::AuditRecord record;
    if (record.ParseFromString(it.value)) {
      records.push_back(record);
    }
  }
  return records;
}

}  // namespace bilberrypitch
