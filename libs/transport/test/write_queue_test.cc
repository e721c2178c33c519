// Tests of WriteQueue.
#include "transport/write_queue.h"

#include <catch2/catch.hpp>
#include <string>

namespace bilberrypitch {

// Guards against: a slow reader leaves one write behind for each tiny piece.
TEST_CASE("pieces that come during a write are joined into the next one",
          "[writes]") {
  constexpr size_t kPieces = 100000;
  WriteQueue queue;
  size_t writes = queue.Push("a").empty() ? 0 : 1;
  for (size_t i = 0; i < kPieces; ++i) {
    writes += queue.Push("b").empty() ? 0 : 1;
  }
  REQUIRE(writes == 1);
  REQUIRE(queue.unwritten_bytes() == kPieces + 1);
  REQUIRE(queue.OnWritten() == std::string(kPieces, 'b'));
  REQUIRE(queue.unwritten_bytes() == kPieces);
  REQUIRE(queue.OnWritten().empty());
  REQUIRE(queue.unwritten_bytes() == 0);
  REQUIRE(queue.Push("c") == "c");
}

TEST_CASE("the bytes that wait can be taken for the last write", "[writes]") {
  WriteQueue queue;
  REQUIRE(queue.Push("a") == "a");
  REQUIRE(queue.Push("b").empty());
  REQUIRE(queue.TakeWaiting() == "b");
  REQUIRE(queue.unwritten_bytes() == 1);
  REQUIRE(queue.OnWritten().empty());
}

}  // namespace bilberrypitch
