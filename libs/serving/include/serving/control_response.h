// Whether a response to an order or to a report's call can be another one's.
//
// Engines need not name the call in such responses, so most often only the
// connection tells. The first response on a connection can be nothing else.
#pragma once

namespace bilberrypitch {

// What is known of a complete response.
struct ControlResponse {
  bool names_call = false;         // Names the call that waits.
  bool names_other = false;        // Names another call or request.
  bool reused_connection = false;  // Earlier calls used the connection.
  bool framed = false;             // By a length or chunks.
  bool surplus_bytes = false;      // More stood behind it.

  bool IsTrusted() const {
    if (names_other) {
      return false;
    }
    return !reused_connection || (framed && (names_call || !surplus_bytes));
  }

  // The engine wrote what nobody asked for, or what can't be told from it.
  bool IsSignOfSurplus() const {
    return names_other || surplus_bytes || (reused_connection && !framed);
  }
};

}  // namespace bilberrypitch
