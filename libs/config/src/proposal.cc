// Builds the transaction that accepts a change.
#include "config/proposal.h"

#include <fmt/format.h>

#include <map>
#include <set>

#include "base/hash.h"
#include "config/chunks.h"
#include "schema/document.pb.h"

namespace bilberrypitch {
namespace {

constexpr size_t kLargestChangeList = 100;

// Names and serialised bytes of one section's items.
using ItemBytes = std::map<std::string, std::string>;

template <typename Items>
ItemBytes BytesByName(const Items& items) {
  ItemBytes bytes;
  for (const auto& it : items) {
    bytes[it.name()] = it.SerializeAsString();
  }
  return bytes;
}

ItemBytes KeyBytes(const schema::Document& document) {
  ItemBytes bytes;
  for (const schema::Key& it : document.keys()) {
    bytes[it.id()] = it.SerializeAsString();
  }
  return bytes;
}

void Compare(const char* what, const ItemBytes& from, const ItemBytes& to,
             std::vector<std::string>* lines) {
  for (const auto& [name, bytes] : to) {
    auto it = from.find(name);
    if (it == from.end()) {
      lines->push_back(fmt::format("{} {} added", what, name));
    } else if (it->second != bytes) {
      lines->push_back(fmt::format("{} {} changed", what, name));
    }
  }
  for (const auto& [name, bytes] : from) {
    if (to.count(name) == 0) {
      lines->push_back(fmt::format("{} {} removed", what, name));
    }
  }
}

void CompareKeys(const schema::Document& from, const schema::Document& to,
                 std::vector<std::string>* lines) {
  std::set<std::string> withdrawn_before;
  for (const schema::Key& it : from.keys()) {
    if (it.withdrawn()) withdrawn_before.insert(it.id());
  }
  for (const schema::Key& it : to.keys()) {
    if (it.withdrawn() && withdrawn_before.count(it.id()) == 0) {
      lines->push_back(fmt::format("key {} withdrawn", it.id()));
    }
  }
  Compare("key", KeyBytes(from), KeyBytes(to), lines);
}

}  // namespace

std::string AuditKey(uint64_t generation) {
  return fmt::format("{}{:020}", kAuditPrefix, generation);
}

std::vector<std::string> DescribeChanges(const schema::Document& from,
                                         const schema::Document& to) {
  std::vector<std::string> lines;
  Compare("workspace", BytesByName(from.workspaces()),
          BytesByName(to.workspaces()), &lines);
  CompareKeys(from, to, &lines);
  Compare("adapter", BytesByName(from.adapters()), BytesByName(to.adapters()),
          &lines);
  Compare("upstream", BytesByName(from.upstreams()),
          BytesByName(to.upstreams()), &lines);
  Compare("route", BytesByName(from.routes()), BytesByName(to.routes()),
          &lines);
  if (from.fleet().SerializeAsString() != to.fleet().SerializeAsString()) {
    lines.push_back("fleet changed");
  }
  if (lines.size() > kLargestChangeList) {
    size_t more = lines.size() - kLargestChangeList;
    lines.resize(kLargestChangeList);
    lines.push_back(fmt::format("and {} more", more));
  }
  return lines;
}

Proposal MakeProposal(const schema::Head* current,
                      const std::string& current_bytes,
                      const schema::Document& old_document,
                      const schema::Document& new_document,
                      const ChangeAuthor& author, std::string attempt_id,
                      int64_t now_unix_ms) {
  std::map<std::string, std::string> old_keys;  // Chunk key by hash.
  if (current != nullptr) {
    for (const schema::ChunkRef& it : current->chunks()) {
      old_keys[it.hash()] = it.key();
    }
  }
  Proposal proposal;
  proposal.generation = current == nullptr ? 1 : current->generation() + 1;
  proposal.attempt_id = std::move(attempt_id);
  proposal.changes = DescribeChanges(old_document, new_document);
  schema::Head head;
  head.set_schema_version(kSchemaVersion);
  head.set_generation(proposal.generation);
  std::set<std::string> used;
  for (Chunk& it : SplitDocument(new_document)) {
    schema::ChunkRef* ref = head.add_chunks();
    ref->set_section(it.section);
    ref->set_bucket(it.bucket);
    ref->set_hash(it.hash);
    auto old = old_keys.find(it.hash);
    if (old != old_keys.end()) {
      ref->set_key(old->second);
      used.insert(old->second);
      continue;
    }
    ref->set_key(kChunkPrefix + proposal.attempt_id + "/" + it.hash);
    proposal.chunks.push_back({ref->key(), std::move(it.bytes)});
  }
  schema::AuditRecord* record = head.mutable_record();
  record->set_generation(proposal.generation);
  record->set_author(author.author);
  record->set_reason(author.reason);
  record->set_attempt_id(proposal.attempt_id);
  record->set_previous_hash(current == nullptr ? "" : Sha256Hex(current_bytes));
  record->set_accepted_unix_ms(now_unix_ms);
  for (const std::string& it : proposal.changes) {
    record->add_changes(it);
  }
  for (const auto& [hash, key] : old_keys) {
    if (used.count(key) == 0) {
      record->add_dropped_chunks(key);
    }
  }
  proposal.head_bytes = head.SerializeAsString();
  proposal.audit_bytes = record->SerializeAsString();
  return proposal;
}

}  // namespace bilberrypitch
