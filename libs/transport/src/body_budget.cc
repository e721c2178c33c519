// Implements BodyBudget.
#include "transport/body_budget.h"

#include <algorithm>
#include <limits>

namespace bilberrypitch {
namespace {

// RESTinio's record of a chunk has two sizes; the array of these records, like
// the string of a body, has up to twice the size that is used.
constexpr size_t kChunkRecordBytes = 2 * sizeof(size_t);
constexpr size_t kGrowthFactor = 2;
// Two strings and what else a field takes in RESTinio.
constexpr size_t kFieldBytes = 96;
// The copies of a body while its request is handled: RESTinio's, that of the
// request, and that of the call to the upstream.
constexpr size_t kCopiesWhileHandled = 3;
// Many small chunks are allowed in small bodies, and on average this size in
// the largest ones.
constexpr size_t kFreeChunks = 4096;
constexpr size_t kMinMeanChunkBytes = 64;
// Of the machine's memory. The rest is for the program itself, and for what
// responses of upstreams and freed memory take.
constexpr int64_t kMemoryDivisor = 3;
constexpr int64_t kDefaultMemoryMb = 256;
constexpr int64_t kDefaultDescriptors = 4096;
// For listeners, the store, other instances, logs, and connections that are
// about to close.
constexpr int64_t kReservedDescriptors = 96;
// One for the caller and one for the upstream.
constexpr int64_t kDescriptorsPerConnection = 2;
// A connection without a request, in RESTinio and in the kernel's structures
// of this process; all connections may take an eighth of the memory.
constexpr int64_t kConnectionBytes = 8 << 10;
constexpr int64_t kConnectionMemoryDivisor = 8;
constexpr int64_t kMinConnections = 16;
// What a connection holds with an ordinary request. These have room beyond the
// budget, so that large requests that are handled for long do not keep them
// out.
constexpr size_t kSmallBytes = 64 << 10;
size_t MaxBytesWithSmall(size_t max_bytes) { return max_bytes + max_bytes / 4; }
// Added to the age of what a connection holds, so that size decides among young
// ones.
constexpr int64_t kMinAgeMs = 100;

int64_t Score(size_t bytes, Millis since, Millis now) {
  return static_cast<int64_t>(bytes) * ((now - since).count() + kMinAgeMs);
}

}  // namespace

size_t RequestSize::ReceivingCost() const {
  return kGrowthFactor * (head_bytes + body_bytes + chunks * kChunkRecordBytes +
                          fields * kFieldBytes);
}

size_t RequestSize::HandlingCost() const {
  return ReceivingCost() + (kCopiesWhileHandled - kGrowthFactor) * body_bytes;
}

size_t MaxChunksFor(size_t max_body_bytes) {
  return kFreeChunks + max_body_bytes / kMinMeanChunkBytes;
}

std::string_view NameOf(EndCause cause) {
  switch (cause) {
    case EndCause::kBodyTooLarge:
      return "body_too_large";
    case EndCause::kTooManyChunks:
      return "too_many_chunks";
    case EndCause::kStalled:
      return "stalled";
    case EndCause::kMemory:
      return "memory";
    case EndCause::kUnreadResponse:
      return "unread_response";
    case EndCause::kTooManyConnections:
      return "too_many_connections";
  }
  return "unknown";
}

BodyBudgetLimits BodyBudgetLimitsFor(int64_t memory_mb,
                                     int64_t max_descriptors) {
  const int64_t memory = (memory_mb > 0 ? memory_mb : kDefaultMemoryMb) << 20;
  const int64_t descriptors =
      max_descriptors > 0 ? max_descriptors : kDefaultDescriptors;
  const int64_t connections =
      std::min((descriptors - kReservedDescriptors) / kDescriptorsPerConnection,
               memory / kConnectionMemoryDivisor / kConnectionBytes);
  BodyBudgetLimits limits;
  limits.bytes = static_cast<size_t>(memory / kMemoryDivisor);
  limits.connections =
      static_cast<size_t>(std::max(connections, kMinConnections));
  return limits;
}

BodyBudget::BodyBudget(const BodyBudgetLimits& limits)
    : limits_(limits), max_bytes_(limits.bytes) {}

void BodyBudget::SetMaxBodyBytes(size_t max_body_bytes) {
  // With as many chunks as it may have, and room for its head.
  constexpr size_t kHeadRoom = 1 << 20;
  RequestSize largest;
  largest.head_bytes = kHeadRoom;
  largest.body_bytes = max_body_bytes;
  largest.chunks = MaxChunksFor(max_body_bytes);
  max_bytes_ = std::max(limits_.bytes, largest.HandlingCost());
}

BodyBudget::ConnectionKey BodyBudget::Open(Millis now) {
  const ConnectionKey key = next_key_++;
  Connection& connection = connections_[key];
  connection.last_progress = now;
  ++open_count_;
  return key;
}

void BodyBudget::Close(ConnectionKey connection) {
  auto it = connections_.find(connection);
  if (it != connections_.end()) {
    Retire(it);
  }
}

void BodyBudget::Retire(Connections::iterator it) {
  Connection& connection = it->second;
  SetReceiving(&connection, 0);
  SetUnread(&connection, 0);
  if (connection.is_open) {
    connection.is_open = false;
    --open_count_;
  }
  if (connection.handled_count == 0) {
    connections_.erase(it);
  }
}

BodyBudget::Connection* BodyBudget::Find(ConnectionKey connection) {
  auto it = connections_.find(connection);
  return it != connections_.end() ? &it->second : nullptr;
}

void BodyBudget::SetReceiving(Connection* connection, size_t cost) {
  if (connection->receiving > 0) {
    --receiving_count_;
  }
  if (cost > 0) {
    ++receiving_count_;
  }
  bytes_held_ = bytes_held_ - connection->receiving + cost;
  connection->receiving = cost;
}

void BodyBudget::SetUnread(Connection* connection, size_t bytes) {
  bytes_held_ = bytes_held_ - connection->unread + bytes;
  connection->unread = bytes;
}

void BodyBudget::OnReceived(ConnectionKey connection, size_t cost, Millis now) {
  Connection* it = Find(connection);
  if (it == nullptr || !it->is_open) {
    return;
  }
  if (it->receiving == 0) {
    it->receiving_since = now;
  }
  it->last_progress = now;
  SetReceiving(it, cost);
}

void BodyBudget::AddHandled(ConnectionKey connection, size_t cost) {
  if (Connection* it = Find(connection)) {
    it->handled += cost;
    ++it->handled_count;
    bytes_held_ += cost;
  }
}

void BodyBudget::RemoveHandled(ConnectionKey connection, size_t cost) {
  auto it = connections_.find(connection);
  if (it == connections_.end() || it->second.handled_count == 0) {
    return;
  }
  it->second.handled -= cost;
  --it->second.handled_count;
  bytes_held_ -= cost;
  if (!it->second.is_open && it->second.handled_count == 0) {
    connections_.erase(it);
  }
}

void BodyBudget::AddUnread(ConnectionKey connection, size_t bytes, Millis now) {
  Connection* it = Find(connection);
  if (it == nullptr || !it->is_open) {
    return;
  }
  if (it->unread == 0) {
    it->unread_since = now;
  }
  SetUnread(it, it->unread + bytes);
}

void BodyBudget::RemoveUnread(ConnectionKey connection, size_t bytes,
                              Millis now) {
  Connection* it = Find(connection);
  if (it != nullptr) {
    it->unread_since = now;
    it->last_progress = now;
    SetUnread(it, it->unread - std::min(it->unread, bytes));
  }
}

std::optional<BodyBudget::Ending> BodyBudget::End(Connections::iterator it,
                                                  EndCause cause) {
  const Ending ending{it->first, cause};
  Retire(it);
  return ending;
}

std::optional<BodyBudget::Ending> BodyBudget::NextEnding(Millis now) {
  if (open_count_ > limits_.connections) {
    auto idle = FindLongestIdle();
    if (idle != connections_.end()) {
      return End(idle, EndCause::kTooManyConnections);
    }
  }
  if (bytes_held_ > max_bytes_) {
    auto largest = FindLargest(false, now);
    if (largest == connections_.end()) {
      largest = FindLargest(true, now);
    }
    if (largest != connections_.end()) {
      const Connection& connection = largest->second;
      return End(largest, connection.unread > connection.receiving
                              ? EndCause::kUnreadResponse
                              : EndCause::kMemory);
    }
  }
  return std::nullopt;
}

std::optional<BodyBudget::Ending> BodyBudget::NextStalled(Millis now) {
  auto stalled = FindStalled(now);
  return stalled != connections_.end() ? End(stalled, EndCause::kStalled)
                                       : std::nullopt;
}

// Of those on which no request is handled and no response written.
BodyBudget::Connections::iterator BodyBudget::FindLongestIdle() {
  auto best = connections_.end();
  for (auto it = connections_.begin(); it != connections_.end(); ++it) {
    const Connection& connection = it->second;
    const bool is_idle = connection.is_open && connection.handled_count == 0 &&
                         connection.unread == 0;
    if (is_idle && (best == connections_.end() ||
                    connection.last_progress < best->second.last_progress)) {
      best = it;
    }
  }
  return best;
}

// What a connection holds counts with its age: a request or response that makes
// progress is gone before it is old.
BodyBudget::Connections::iterator BodyBudget::FindLargest(bool may_be_handling,
                                                          Millis now) {
  const size_t spared_bytes =
      bytes_held_ <= MaxBytesWithSmall(max_bytes_) ? kSmallBytes : 0;
  auto best = connections_.end();
  int64_t best_score = 0;
  for (auto it = connections_.begin(); it != connections_.end(); ++it) {
    const Connection& connection = it->second;
    if (connection.receiving + connection.unread <= spared_bytes) {
      continue;
    }
    const bool is_handling = connection.handled_count > 0;
    const int64_t score =
        Score(connection.receiving, connection.receiving_since, now) +
        Score(connection.unread, connection.unread_since, now);
    if ((may_be_handling || !is_handling) && score > best_score) {
      best = it;
      best_score = score;
    }
  }
  return best;
}

BodyBudget::Connections::iterator BodyBudget::FindStalled(Millis now) {
  const bool is_short = bytes_held_ > max_bytes_ / 2;
  const Millis stall = is_short ? limits_.stall_when_short : limits_.stall;
  return std::find_if(
      connections_.begin(), connections_.end(), [&](const auto& it) {
        return it.second.receiving > 0 && it.second.handled_count == 0 &&
               now - it.second.last_progress >= stall;
      });
}

}  // namespace bilberrypitch
