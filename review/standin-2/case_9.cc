// A model server answers with bytes without end; the machine's memory is full
// before the calls end.
#include "bookings.h"
#include "memory_limit.h"
#include "servers.h"
#include "support.h"

namespace review {
namespace {

constexpr int kClients = 8;
// As many as the model server takes at once, less some.
constexpr int kRequests = 60;
constexpr int kStreamTimeoutMs = 5000;
// Clients leave a stream without an event after four times its objective.
constexpr int64_t kClientLeavesMs = 4000;
constexpr int64_t kSettleMs = 8000;
constexpr int64_t kWorkMs = 500;
// All requests together stay below the 125 MB a second of the machine's link.
constexpr int64_t kBytesPerS = 2000 * 1000;

int Run(Record* record) {
  Deployment deployment;
  if (!deployment.StartStore()) {
    return kCannotRun;
  }
  deployment.Write(
      "op/config",
      ConfigJson(
          1, {{"/puxa403/", "non_idempotent", kPlainService, 2500, 0},
              {"/gono990/", "stream", kModelService, kStreamTimeoutMs, 400}}));
  PlainServer plain(record, "i-plain", kWorkMs);
  deployment.Register("i-plain", kPlainService, plain.port(), "");
  ModelServer model(record, "i-model");
  deployment.Register("i-model", kModelService, model.port(),
                      R"({"name":"base","version":1,"adapters":[]})");
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
  if (WithTrouble()) {
    model.BeginTrouble(kBytesPerS);
  }
  std::vector<Connection> connections;
  connections.reserve(kRequests);
  for (int i = 0; i < kRequests; ++i) {
    connections.push_back(Connection::To(machine.front));
    connections.back().Send(RequestText(
        "/gono990/2f", "t" + std::to_string(i), kStreamTimeoutMs,
        "Model: " + std::string(kModel) +
            "\r\nTokens: 180,22\r\nPrompt-Prefix: 5c1e07a2:56,91bd3f" +
            std::to_string(i) + ":124\r\n",
        "{}"));
  }
  record->Add("clients have sent " + std::to_string(kRequests) + " requests");
  return EnforceMemoryLimit(record, &machine, &bookings, kClientLeavesMs);
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
