// Decides which connections are ended so that requests that are received or
// handled, and responses that callers do not read, keep to the memory of the
// process, and the connections to its descriptors. It has no I/O.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string_view>

#include "base/strong.h"

namespace bilberrypitch {

// What a request consists of, as far as it has been received.
struct RequestSize {
  size_t head_bytes = 0;  // Of the target and of names and values of fields.
  size_t fields = 0;
  size_t body_bytes = 0;  // Without the framing of chunks.
  size_t chunks = 0;

  // An estimate of the memory that it takes while it is received and while it
  // is handled.
  size_t ReceivingCost() const;
  size_t HandlingCost() const;
};

// The number of chunks that a body may have where bodies may have this size.
size_t MaxChunksFor(size_t max_body_bytes);

// Why a connection is ended.
enum class EndCause : uint8_t {
  kBodyTooLarge,
  kTooManyChunks,
  kStalled,             // No byte of a request has come for a time.
  kMemory,              // Of requests; the budget is used up.
  kUnreadResponse,      // The budget is used up.
  kTooManyConnections,  // For the descriptors of the process.
};
inline constexpr size_t kEndCauseCount = 6;
std::string_view NameOf(EndCause cause);

struct BodyBudgetLimits {
  // Costs over all connections. Connections that hold little may exceed it by a
  // quarter.
  size_t bytes = 0;
  size_t connections = 0;
  // Time without a byte of the request that is being received: when more than
  // half of the budget is used, and always.
  Millis stall_when_short{5 * 1000};
  Millis stall{60 * 1000};
};

// The limits of a machine. 0: not known.
BodyBudgetLimits BodyBudgetLimitsFor(int64_t memory_mb,
                                     int64_t max_descriptors);

class BodyBudget {
 public:
  using ConnectionKey = uint64_t;
  struct Ending {
    ConnectionKey connection;
    EndCause cause;
  };

  explicit BodyBudget(const BodyBudgetLimits& limits);

  // Raises the budget to what one body of this size takes, if it is less.
  void SetMaxBodyBytes(size_t max_body_bytes);

  ConnectionKey Open(Millis now);
  // What is handled counts until it is released.
  void Close(ConnectionKey connection);
  // Bytes have come. `cost`: of requests that are not handled yet, incomplete
  // or waiting for their turn; 0 between requests.
  void OnReceived(ConnectionKey connection, size_t cost, Millis now);
  // A request is handled and takes this.
  void AddHandled(ConnectionKey connection, size_t cost);
  void RemoveHandled(ConnectionKey connection, size_t cost);
  // Bytes of responses that the connection has not taken.
  void AddUnread(ConnectionKey connection, size_t bytes, Millis now);
  void RemoveUnread(ConnectionKey connection, size_t bytes, Millis now);

  // Returns a connection to be ended, which no longer counts, or nothing while
  // the limits are kept. To be called again until it returns nothing.
  std::optional<Ending> NextEnding(Millis now);
  // The same, for requests of which no byte has come for a time.
  std::optional<Ending> NextStalled(Millis now);
  // Whether a request is being received, which may stall.
  bool IsReceiving() const { return receiving_count_ > 0; }

  size_t bytes_held() const { return bytes_held_; }
  size_t max_bytes() const { return max_bytes_; }
  size_t connection_count() const { return open_count_; }

 private:
  struct Connection {
    size_t receiving = 0;
    size_t handled = 0;
    size_t handled_count = 0;
    size_t unread = 0;
    Millis receiving_since;
    Millis unread_since;
    Millis last_progress;
    bool is_open = true;  // False: ended or closed.
  };
  using Connections = std::map<ConnectionKey, Connection>;

  Connection* Find(ConnectionKey connection);
  void SetReceiving(Connection* connection, size_t cost);
  void SetUnread(Connection* connection, size_t bytes);
  // Takes an ended connection out of what counts.
  void Retire(Connections::iterator it);
  std::optional<Ending> End(Connections::iterator it, EndCause cause);
  Connections::iterator FindLongestIdle();
  Connections::iterator FindLargest(bool may_be_handling, Millis now);
  Connections::iterator FindStalled(Millis now);

  const BodyBudgetLimits limits_;
  size_t max_bytes_;
  ConnectionKey next_key_ = 1;
  // Those that are open, and closed ones with requests that are handled.
  Connections connections_;
  // Sums over `connections_`.
  size_t bytes_held_ = 0;
  size_t open_count_ = 0;
  size_t receiving_count_ = 0;  // With a cost of `receiving`.
};

}  // namespace bilberrypitch
