// Cuts a document into chunks and joins it again.
//
// Adapters and keys are spread over buckets by the hash of their name, so that
// a change touches the chunks of what it changes and no value comes near the
// store's bound.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "schema/json_reader.h"

namespace bilberrypitch {

namespace schema {
class ChunkRef;
class Document;
class Head;
}  // namespace schema

inline constexpr uint32_t kSchemaVersion = 1;
inline constexpr size_t kLargestChunkBytes = 900 * 1000;

// One chunk with its bytes. `section` is a section's field name.
struct Chunk {
  std::string section;
  uint32_t bucket = 0;
  std::string hash;
  std::string bytes;
};

// Chunk bytes by hash.
using ChunkBytes = std::map<std::string, std::string>;

std::vector<Chunk> SplitDocument(const schema::Document& document);

// Parses one chunk into the part of a document that it holds. False when the
// bytes are damaged or their hash is not the one named.
bool ParseChunk(const schema::ChunkRef& ref, const std::string& bytes,
                schema::Document* part);

// Joins all chunks of `head`. False when one is missing or damaged.
bool JoinDocument(const schema::Head& head, const ChunkBytes& chunks,
                  schema::Document* document);

}  // namespace bilberrypitch
