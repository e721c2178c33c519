// Closes a connection behind its last response. What the caller still sends is
// read and dropped for a short time, as a close with unread bytes resets the
// connection, and the caller may lose the response.
#pragma once

// A header of the standard library has to come first: Asio chooses by its
// macros how handlers are allocated, and all sources have to agree.
#include <memory>
#include <restinio/all.hpp>

namespace bilberrypitch {

// Holds the socket's descriptor for a second at most, and a few descriptors at
// a time; beyond these the socket is closed at once.
void CloseLingering(restinio::asio_ns::ip::tcp::socket socket);

}  // namespace bilberrypitch
