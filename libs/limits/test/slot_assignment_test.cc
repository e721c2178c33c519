// Tests of who owns which part.
#include "limits/slot_assignment.h"

#include <catch2/catch.hpp>

#include "limits/token_account.h"
#include "schema/peer.pb.h"

namespace bilberrypitch {
namespace {

const BootId kA("a");
const BootId kB("b");
const BootId kC("c");

}  // namespace

TEST_CASE("all slots find an owner and are spread evenly") {
  schema::SlotTable table = *AssignSlots({}, 4, {kA, kB}, {});
  int of_a = 0;
  for (const auto& it : table.slots()) of_a += it.owner() == "a";
  REQUIRE(table.slots_size() == 4);
  REQUIRE(of_a == 2);
  REQUIRE_FALSE(AssignSlots(table, 4, {kA, kB}, {}).has_value());
}

TEST_CASE("a slot is only taken from an owner whose registration is gone") {
  schema::SlotTable table = *AssignSlots({}, 2, {kA, kB}, {});
  // A third joins: nobody can spare a slot. One leaves: its slot has a next.
  REQUIRE_FALSE(AssignSlots(table, 2, {kA, kB, kC}, {}).has_value());
  schema::SlotTable asked = *AssignSlots(table, 2, {kA, kB, kC}, {kA});
  for (const auto& it : asked.slots()) {
    REQUIRE(it.owner() != "c");
    REQUIRE(it.next() == (it.owner() == "a" ? "c" : ""));
  }
  SlotHolder leaving(kA);
  leaving.OnTable(asked, Millis(0));
  REQUIRE(leaving.handing_over());
  schema::SlotTable handed = *HandOverSlot(asked, kA, true);
  REQUIRE_FALSE(HandOverSlot(handed, kA, true).has_value());
  SlotHolder clean(kC);
  clean.OnTable(handed, Millis(0));
  REQUIRE(clean.Minting(Millis(0)) == 1);
  // The same after a death: the next owner waits for what others hold of it.
  schema::SlotTable taken = *AssignSlots(table, 2, {kB, kC}, {});
  SlotHolder unclean(kC);
  unclean.OnTable(taken, Millis(0));
  REQUIRE(unclean.owned() == 1);
  REQUIRE(unclean.Minting(kTokenLife) == 0);
  unclean.OnTable(taken, Millis(3000));
  REQUIRE(unclean.Minting(kPartWait) == 1);
}

}  // namespace bilberrypitch
