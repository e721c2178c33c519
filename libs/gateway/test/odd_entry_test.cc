// Tests of upstream entries that another writer has left in the store.
#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "gateway_fixture.h"

namespace bilberrypitch {
namespace {

// More than any decoder that calls itself for each level can bear.
constexpr size_t kDeep = 200000;
constexpr int kRequestsForEach = 3;

std::string Nested(size_t depth, char open, char close) {
  return std::string(depth, open) + std::string(depth, close);
}

// An entry that names the upstream at `address`, but for one field.
std::string Entry(const std::string& address, const std::string& field,
                  const std::string& value) {
  std::string text = R"({"service":"s","zone":"z","version":"1")";
  for (const auto& [name, usual] :
       std::vector<std::pair<std::string, std::string>>{
           {"addr", "\"" + address + "\""},
           {"state", "\"ready\""},
           {"capacity", "6"},
           {"born", "2"}}) {
    text += ",\"" + name + "\":" + (name == field ? value : usual);
  }
  return text + "}";
}

// Entries that name no upstream to use.
std::vector<std::string> OddEntries(const std::string& address) {
  std::vector<std::string> entries = {
      "",
      "null",
      Nested(kDeep, '[', ']'),
      std::string(kDeep, '['),
      std::string("\xff\xfe\x00", 3),
      Entry(address, "capacity", Nested(kDeep, '[', ']')),
      Entry(address, "born", Nested(kDeep, '[', ']'))};
  for (const char* number :
       {"0", "-1", "0.5", "1e400", "-1e400", "1e300", "4294967296",
        "18446744073709551616", "99999999999999999999999999", "\"6\"", "[]"}) {
    entries.push_back(Entry(address, "capacity", number));
  }
  for (const char* number : {"1e400", "-1e400", "1e300", "0.5",
                             "99999999999999999999999999", "\"2\""}) {
    entries.push_back(Entry(address, "born", number));
  }
  const std::string ip = address.substr(0, address.find(':'));
  const std::string port = address.substr(address.find(':') + 1);
  for (const std::string& odd :
       {ip, ip + ":", ip + ":0", ip + ":-1", ip + ":65536",
        ip + ":99999999999999999999", address + "x", address + "/path",
        "user@" + address, "localhost:" + port, "[::1]:" + port,
        fmt::format("{}: {}", ip, port), std::string("256.0.0.1:80"),
        std::string()}) {
    entries.push_back(Entry(address, "addr", "\"" + odd + "\""));
  }
  return entries;
}

}  // namespace

// Guards against: an entry that can't be read ends the process, takes requests
// that then fail, or keeps the instance from following the store.
TEST_CASE("an odd entry names no upstream and the others are used", "[odd]") {
  Fixture fixture;
  fixture.WaitUntilReady();
  int64_t started_ms = 2;
  int version = 1;
  for (const std::string& entry : OddEntries(fixture.second.address())) {
    CAPTURE(entry.substr(0, 200), entry.size());
    fixture.store.Put("servers/odd", entry);
    // Both are changes that come after the entry.
    ++version;
    fixture.PutConfig(version, fmt::format("\"key{}\"", version));
    fixture.PutUpstream("i-1", fixture.first.address(), "ready",
                        static_cast<int>(++started_ms));
    const std::string key = fmt::format("key{}", version);
    fixture.WaitForStatus(200, key);
    for (int i = 0; i < kRequestsForEach; ++i) {
      REQUIRE(fixture.SendRequest("/once/x", key).status == 200);
    }
    REQUIRE(fixture.second.requests().empty());
  }
}

// Guards against: the key of an entry becomes a header field of its own.
TEST_CASE("an entry with an odd id names no upstream", "[odd]") {
  Fixture fixture;
  fixture.WaitUntilReady();
  for (const std::string& id :
       {std::string(), std::string("a\r\nTenant: w2"), std::string("a b"),
        std::string("\xc3\xa9"), std::string("a\0b", 3)}) {
    fixture.PutUpstream(id, fixture.second.address(), "ready");
  }
  fixture.PutConfig(2, "\"key2\"");
  fixture.WaitForStatus(200, "key2");
  for (int i = 0; i < kRequestsForEach * 4; ++i) {
    REQUIRE(fixture.SendRequest("/once/x", "key2").status == 200);
  }
  REQUIRE(fixture.second.requests().empty());
}

}  // namespace bilberrypitch
