// Finds a response that stands inside the body of another one.
//
// An upstream that responds twice on a connection that ends the body puts the
// second response, with its head, behind the first. Which fields a head has is
// not known here, so it is recognized by its shape.
#pragma once

#include <string_view>

namespace bilberrypitch {

// Whether the body contains, at any place, the head of an HTTP/1 response: a
// status line and at least one header field, in lines that end with CR and LF,
// up to an empty line or to the end of the body. A head that the end of the
// body cuts off counts from its first whole field: its connection broke, and
// the bytes are no less of another response. A status line alone doesn't count,
// as text may quote one. Takes linear time.
bool ContainsResponseHead(std::string_view body);

}  // namespace bilberrypitch
