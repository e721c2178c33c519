// Callers of the completions interface send header fields that only the system
// may set. Exits with 1 if an engine runs a request with such a field as the
// caller sent it, or with another tenant than the one that holds the key.
#include <array>
#include <atomic>
#include <cstdio>
#include <fstream>
#include <memory>

#include "engine.h"
#include "upstream.h"

namespace review {
namespace {

constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kCouldNotRun = 2;
constexpr int kRounds = 20;
constexpr int64_t kLeadMs = 8000;

// Fields that are the system's to set.
constexpr std::array<const char*, 4> kReservedFields = {
    "Hold: h-1", "Pin-Ms: 4000", "Kv-Backup: 127.0.0.1:9",
    "Kv-From: 127.0.0.1:9/run-of-another-tenant"};

struct Tally {
  std::atomic<int> sent = 0;
  std::atomic<int> served = 0;
  std::atomic<int> run = 0;
  std::atomic<int> run_with_reserved_field = 0;
  std::atomic<int> run_for_other_tenant = 0;
};

std::string LowerCaseName(const std::string& field) {
  std::string name = field.substr(0, field.find(':'));
  for (char& c : name) {
    c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
  }
  return name;
}

// Judges a request that runs. All callers use the key of tenant "t1". A field
// that comes twice counts by its first value, as most servers read it; a single
// one leaves no choice.
void Judge(const Message& request, Record* record, Tally* tally) {
  ++tally->run;
  std::string id = request.Header("request-id");
  if (request.Header("tenant") != "t1") {
    ++tally->run_for_other_tenant;
    record->Line("BROKEN: " + id + " runs for Tenant: " +
                 request.Header("tenant") + ", its key is of t1");
  }
  for (const char* field : kReservedFields) {
    std::string value = request.Header(LowerCaseName(field));
    if (!value.empty()) {
      ++tally->run_with_reserved_field;
      record->Line("BROKEN: " + id + " runs with " + field +
                   ", as its caller sent it");
    }
  }
}

Upstream::Handler MakeHandler(std::shared_ptr<EngineContents> contents,
                              Record* record, Tally* tally) {
  return [=](Upstream* engine, UpstreamConnection* connection,
             const Message& request) {
    if (AnswerEngineCall(engine, contents.get(), connection, request, record)) {
      return true;
    }
    std::string id = request.Header("request-id");
    record->Line(engine->options().id + " runs " + id);
    Judge(request, record, tally);
    SleepMs(engine->options().work_ms);
    return connection->socket.Send(engine->Success(id));
  };
}

void SendCompletion(uint16_t port, const std::string& field, Record* record,
                    Tally* tally) {
  std::string id = "r" + std::to_string(++tally->sent);
  std::string body = R"({"model":"base","max_tokens":22,"messages":[]})";
  std::string request =
      "POST /v1/chat/completions HTTP/1.1\r\nHost: club.example\r\n"
      "Authorization: Bearer key-1\r\nX-Deadline-Ms: 5000\r\nX-Request-Id: ";
  request += id;
  request += "\r\n";
  if (!field.empty()) {
    request += field;
    request += "\r\n";
  }
  request += "Content-Length: ";
  request += std::to_string(body.size());
  request += "\r\n\r\n";
  request += body;
  Socket connection = Connect(port, 1000);
  connection.Send(request);
  record->Line("client sends " + id + (field.empty() ? "" : " with " + field));
  std::optional<Message> answer = Reader(connection.fd()).Read(NowMs() + 6000);
  int status = answer ? answer->status() : 0;
  tally->served += status == 200 ? 1 : 0;
  record->Line("client got " + std::to_string(status) + " for " + id);
}

int Run(const std::string& folder) {
  Record record(folder + "/record.txt");
  Fleet fleet;
  if (!fleet.StartStore()) {
    return kCouldNotRun;
  }
  ConfigText config = EngineConfig();
  config.routes = R"({"name":"chat","host":"club.example","prefix":"/v1/",)"
                  R"("kind":"non_idempotent","attempts":1,"timeoutMs":5000,)"
                  R"("goalMs":1000,"service":"llm"})";
  config.tenants =
      R"({"name":"t1","apiKeys":["key-1"]},{"name":"t2","apiKeys":["key-2"]})";
  fleet.WriteConfig(1, config);
  AdapterStore adapter_store;
  Tally tally;
  std::vector<std::unique_ptr<Upstream>> engines;
  for (const char* zone : {"a", "b"}) {
    auto contents =
        std::make_shared<EngineContents>(EngineOptions(), &adapter_store);
    UpstreamOptions options;
    options.id = std::string("i-") + zone;
    options.service = "llm";
    options.zone = zone;
    options.slots = 64;
    options.entry_fields = [contents] {
      return ",\"models\":" + contents->Models();
    };
    engines.push_back(std::make_unique<Upstream>(
        &fleet, options, MakeHandler(contents, &record, &tally)));
  }
  uint16_t completions_port = FreePort();
  std::string settings = fleet.folder() + "/settings.json";
  std::ofstream(settings) << R"({"completions_address":"127.0.0.1:)"
                          << completions_port << "\"}";
  fleet.StartInstance("front-a-1", "a", {"a", "b"}, {},
                      {"--settings", settings});
  fleet.StartInstance("front-b-1", "b", {"a", "b"});
  if (!fleet.WaitUntilReady("front-a-1", 15000) ||
      !fleet.WaitUntilReady("front-b-1", 15000)) {
    return kCouldNotRun;
  }
  SleepMs(kLeadMs);
  for (int i = 0; i < kRounds; ++i) {
    SendCompletion(completions_port, "", &record, &tally);
    std::string tenant = HasTrouble() ? "Tenant: t2" : "";
    SendCompletion(completions_port, tenant, &record, &tally);
    for (const char* field : kReservedFields) {
      SendCompletion(completions_port, HasTrouble() ? field : "", &record,
                     &tally);
    }
  }
  std::string result =
      "sent " + std::to_string(tally.sent) + ", served " +
      std::to_string(tally.served) + ", run " + std::to_string(tally.run) +
      ", run with a field that is the system's to set " +
      std::to_string(tally.run_with_reserved_field) +
      ", run for another tenant " + std::to_string(tally.run_for_other_tenant);
  record.Line(result);
  std::puts(result.c_str());
  if (tally.served == 0) {
    return kCouldNotRun;
  }
  bool broken =
      tally.run_with_reserved_field > 0 || tally.run_for_other_tenant > 0;
  return broken ? kBroken : kHeld;
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) { return argc == 2 ? review::Run(argv[1]) : 2; }
