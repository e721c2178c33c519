// A crowd of clients uses up a machine's descriptors for less than a second,
// and leaves.
#include <filesystem>
#include <thread>

#include "bookings.h"
#include "servers.h"
#include "support.h"

namespace review {
namespace {

constexpr size_t kCrowd = 2300;
constexpr size_t kMostWithRoom = 1880;  // That leave descriptors for others.
constexpr int kServers = 9;  // Each with 64 slots, 192 waiting requests and
                             // 370 connections.
constexpr int64_t kTurnMs = 4000;  // How long a request waits there.
constexpr int kTriers = 8;
constexpr int kStreamTimeoutMs = 5000;
constexpr int kPlainTimeoutMs = 2500;
constexpr int64_t kSettleMs = 8000;
constexpr int64_t kProbeMs = 1000;    // Between two readiness probes.
constexpr int64_t kPauseMs = 200;     // For the last of them to be served.
constexpr int64_t kLastMs = 400;      // Within which the rest comes.
constexpr int64_t kCrowdMs = 2900;    // Until it leaves.
constexpr int64_t kContactMs = 3000;  // `contactMs`.
constexpr int64_t kClientWaitMs = 1000;

bool IsReady(Record* record, const Machine& machine) {
  auto answer = Call(machine.ready, "GET", "/readyz", "");
  const bool is_ready = answer && answer->status() == 200;
  record->Add("the platform asks " + machine.name + " for its readiness: " +
              (answer ? std::to_string(answer->status()) : "no answer"));
  return is_ready;
}

int OpenDescriptors(const Process& process) {
  std::error_code ec;
  std::filesystem::directory_iterator it(
      "/proc/" + std::to_string(process.pid()) + "/fd", ec);
  return ec ? 0
            : static_cast<int>(
                  std::distance(it, std::filesystem::directory_iterator()));
}

// Returns whether a client that comes on a connection of its own is answered.
bool TryBooking(Record* record, const Machine& machine, const std::string& id) {
  Connection connection = Connection::To(machine.front);
  const bool is_sent = connection.is_open() &&
                       connection.Send(RequestText("/puxa403/2f", id,
                                                   kPlainTimeoutMs, "", "{}"));
  std::string rest;
  Message answer;
  if (is_sent) {
    answer = ReadMessage(&connection, &rest, kClientWaitMs, false);
  }
  record->Add("client: booking " + id +
              (answer.complete
                   ? " is answered with " + std::to_string(answer.status())
                   : " is given up, without an answer"));
  return answer.complete;
}

// Eight clients come at once, each on a connection of its own. Returns how many
// are answered.
int TryBookings(Record* record, const Machine& machine,
                const std::string& prefix) {
  std::atomic<int> answered = 0;
  std::vector<std::thread> clients;
  clients.reserve(kTriers);
  for (int i = 0; i < kTriers; ++i) {
    clients.emplace_back([&, i] {
      bool is_answered =
          TryBooking(record, machine, prefix + std::to_string(i));
      answered += is_answered ? 1 : 0;
    });
  }
  for (std::thread& it : clients) {
    it.join();
  }
  return answered;
}

// Opens connections until there are `clients`, a request on each, spread over
// `duration_ms`.
void Come(const Machine& machine, size_t clients, int64_t duration_ms,
          std::vector<Connection>* connections) {
  const int64_t begin = NowMs();
  const size_t known = connections->size();
  const size_t newcomers = clients - known;
  while (connections->size() < clients) {
    const auto rank = static_cast<int64_t>(connections->size() - known);
    const int64_t due =
        begin + duration_ms * rank / static_cast<int64_t>(newcomers);
    if (NowMs() < due) {
      SleepMs(1);
      continue;
    }
    const std::string id = "t" + std::to_string(connections->size());
    connections->push_back(Connection::To(machine.front));
    connections->back().Send(RequestText(
        "/gono990/2f", id, kStreamTimeoutMs,
        "Model: " + std::string(kModel) +
            "\r\nTokens: 12,22\r\nPrompt-Prefix: 5c1e07a2:8,91bd3f06:4\r\n",
        "{}"));
  }
}

// Clients come within 2.4 s and leave together after 2.9 s, while the platform
// asks once a second. Returns false if that took longer.
bool SendCrowd(Record* record, const Machine& machine, bool is_large) {
  const int64_t begin = NowMs();
  std::vector<Connection> connections;
  connections.reserve(kCrowd);
  Come(machine, kMostWithRoom / 2, kProbeMs, &connections);
  IsReady(record, machine);
  Come(machine, kMostWithRoom, kProbeMs - kPauseMs, &connections);
  SleepMs(begin + 2 * kProbeMs - NowMs());
  IsReady(record, machine);
  if (is_large) {
    Come(machine, kCrowd, kLastMs, &connections);
  }
  record->Add(std::to_string(connections.size()) +
              " clients have sent a request each; the machine uses " +
              std::to_string(OpenDescriptors(*machine.process)) +
              " descriptors");
  SleepMs(begin + kCrowdMs - NowMs());
  connections.clear();
  const int64_t left_at = NowMs();
  record->Add("they leave");
  return left_at < begin + 3 * kProbeMs;
}

int Run(Record* record) {
  Deployment deployment;
  if (!deployment.StartStore()) {
    return kCannotRun;
  }
  deployment.Write(
      "op/config",
      ConfigJson(
          1,
          {{"/puxa403/", "non_idempotent", kPlainService, kPlainTimeoutMs, 0},
           {"/gono990/", "stream", kModelService, kStreamTimeoutMs, 400}}));
  PlainServer plain(record, "i-plain", 30);
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
  if (!IsReady(record, machine) || !TryBooking(record, machine, "before")) {
    return kCannotRun;
  }
  if (!SendCrowd(record, machine, WithTrouble())) {
    record->Add("the crowd took too long");
    return kCannotRun;
  }
  SleepMs(kProbeMs);
  bool is_ready = true;
  int answered = 0;
  const int64_t end = NowMs() + kContactMs + kProbeMs;
  for (int round = 0; NowMs() < end; ++round) {
    is_ready = IsReady(record, machine) && is_ready;
    answered += TryBookings(record, machine, "n" + std::to_string(round) + "-");
    SleepMs(100);
  }
  const bool is_broken = is_ready && answered == 0;
  record->Add(std::to_string(answered) +
              " clients on new connections are answered");
  if (is_broken) {
    record->Add(
        "RECOVER is broken: the machine says that it is ready and "
        "takes no new connection, though eight clients try");
  }
  return is_broken ? kBroken : kHeld;
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
