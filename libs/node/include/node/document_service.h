// Changes of the document by operators: read, change, accept by
// compare-and-swap, and settle a lost answer by reading.
#pragma once

#include <boost/leaf/result.hpp>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "base/error.h"
#include "config/proposal.h"
#include "node/node_context.h"

namespace bilberrypitch {

namespace schema {
class AuditRecord;
class Document;
class Head;
}  // namespace schema

struct AcceptedChange {
  uint64_t generation = 0;
  std::vector<std::string> changes;
};

// Thread-safe; its calls block on the store. Not from a worker thread.
class DocumentService {
 public:
  using Change = std::function<boost::leaf::result<void>(schema::Document*)>;

  explicit DocumentService(const NodeContext& context) : context_(context) {}

  // The newest document in the store and its generation (0: none yet).
  boost::leaf::result<uint64_t> Read(schema::Document* document);
  // Replaces the whole document. `base` is the generation it was made from:
  // the change is refused when another was accepted since.
  boost::leaf::result<AcceptedChange> Put(const schema::Document& document,
                                          uint64_t base,
                                          const ChangeAuthor& author);
  // Applies a small change to the newest document, again after a conflict.
  boost::leaf::result<AcceptedChange> Apply(const Change& change,
                                            const ChangeAuthor& author);
  // The audit trail, oldest first.
  boost::leaf::result<std::vector<schema::AuditRecord>> Audit();

 private:
  struct Stored;

  boost::leaf::result<void> Load(Stored* stored);
  boost::leaf::result<AcceptedChange> Accept(const Stored& stored,
                                             const schema::Document& document,
                                             const ChangeAuthor& author);
  boost::leaf::result<void> WriteChunks(const Proposal& proposal);
  bool Settle(const Proposal& proposal);
  void CollectDropped(uint64_t generation);

  const NodeContext context_;
};

}  // namespace bilberrypitch
