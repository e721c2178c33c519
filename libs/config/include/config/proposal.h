// An operator's change of the document, from the head it was read at to the
// transaction that accepts it. No I/O.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace bilberrypitch {

namespace schema {
class AuditRecord;
class Document;
class Head;
}  // namespace schema

// Keys of the platform's store that hold the document.
inline constexpr char kHeadKey[] = "/bilberrypitch/head";
inline constexpr char kAuditPrefix[] = "/bilberrypitch/audit/";
inline constexpr char kChunkPrefix[] = "/bilberrypitch/chunks/";
// Chunks that a change let go are removed this many generations later.
inline constexpr uint64_t kGenerationsKept = 16;

std::string AuditKey(uint64_t generation);

struct ChangeAuthor {
  std::string author;
  std::string reason;
};

struct ChunkWrite {
  std::string key;
  std::string bytes;
};

struct Proposal {
  uint64_t generation = 0;
  std::string attempt_id;
  std::vector<ChunkWrite> chunks;  // To be written before the head.
  std::string head_bytes;
  std::string audit_bytes;
  std::vector<std::string> changes;
};

// `current` is null for the first document. `current_bytes` is the head as it
// was read. `now_unix_ms` is for the audit trail only.
Proposal MakeProposal(const schema::Head* current,
                      const std::string& current_bytes,
                      const schema::Document& old_document,
                      const schema::Document& new_document,
                      const ChangeAuthor& author, std::string attempt_id,
                      int64_t now_unix_ms);

// One line for each item that differs; never holds a key's hash or salt.
std::vector<std::string> DescribeChanges(const schema::Document& from,
                                         const schema::Document& to);

}  // namespace bilberrypitch
