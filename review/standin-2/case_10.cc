// Many clients at once send requests inside the limits of the configuration,
// each with a prompt of many short parts.
#include "bookings.h"
#include "memory_limit.h"
#include "servers.h"
#include "support.h"

namespace review {
namespace {

constexpr int kClients = 8;
// Fewer than the connections that a machine with 4,100 descriptors accepts.
constexpr int kRequests = 1900;
constexpr int kParts = 3900;  // 15,600 bytes of the 16,384 in `headerBytes`.
constexpr int kDeadlineMs = 5000;
constexpr int kServers = 9;  // 211 requests each, of 64 slots and 192 waiting.
constexpr int64_t kTurnMs = 3000;  // How long a request waits there.
constexpr int64_t kSettleMs = 8000;
constexpr int64_t kWorkMs = 500;

// A prompt of `parts` parts, or of the usual two.
std::string PromptFields(int parts) {
  std::string prefix = "5c1e07a2:1,91bd3f06:0";
  if (parts > 0) {
    prefix = "1:0";
    for (int i = 1; i < parts; ++i) {
      prefix += ",1:0";
    }
  }
  return "Model: " + std::string(kModel) +
         "\r\nTokens: 1,22\r\nPrompt-Prefix: " + prefix + "\r\n";
}

int Run(Record* record) {
  Deployment deployment;
  if (!deployment.StartStore()) {
    return kCannotRun;
  }
  deployment.Write(
      "op/config",
      ConfigJson(1,
                 {{"/puxa403/", "non_idempotent", kPlainService, 2500, 0},
                  {"/gono990/", "stream", kModelService, kDeadlineMs, 400}}));
  PlainServer plain(record, "i-plain", kWorkMs);
  deployment.Register("i-plain", kPlainService, plain.port(), "");
  std::vector<std::unique_ptr<ModelServer>> models;
  models.reserve(kServers);
  for (int i = 0; i < kServers; ++i) {
    const std::string id = "i-model-" + std::to_string(i);
    models.push_back(std::make_unique<ModelServer>(record, id, kTurnMs));
    deployment.Register(id, kModelService, models.back()->port(),
                        R"({"name":"base","version":1,"adapters":[]})");
  }
  Machine machine;
  if (!deployment.StartMachine("front-a-1", "a", &machine)) {
    return kCannotRun;
  }
  SleepMs(kSettleMs);
  Bookings bookings(record, &plain, machine.front, kClients);
  SleepMs(2 * kWorkMs + kWorkMs / 2);
  if (bookings.answered() < kClients) {
    return kCannotRun;
  }
  const std::string fields = PromptFields(WithTrouble() ? kParts : 0);
  std::vector<Connection> connections;
  connections.reserve(kRequests);
  for (int i = 0; i < kRequests; ++i) {
    connections.push_back(Connection::To(machine.front));
    connections.back().Send(RequestText("/gono990/2f", "t" + std::to_string(i),
                                        kDeadlineMs, fields, "{}"));
  }
  record->Add("clients have sent " + std::to_string(kRequests) +
              " requests, each with " + std::to_string(fields.size()) +
              " bytes of fields about its prompt");
  return EnforceMemoryLimit(record, &machine, &bookings, kDeadlineMs);
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  if (argc != 2) {
    return review::kCannotRun;
  }
  review::Record record(argv[1]);
  return review::Run(&record);
}
