// Servers send the end of an answer a second time, late: a caller gets it as a
// part of its own answer.
#include <atomic>
#include <thread>

#include "stuttering_server.h"
#include "support.h"

namespace review {
namespace {

constexpr int kServers = 5;
constexpr int kSpoiling = 3;  // A share of 0.6.
constexpr int kOneIn = 34;    // Of their answers: 0.0294.
constexpr int64_t kSpoiltMs = 5000;
constexpr int64_t kSoundMs = 1000;
constexpr int kRounds = 2;
constexpr int kClients = 8;
constexpr int kDeadlineMs = 2500;
constexpr int64_t kSettleMs = 8000;

// The bytes of a body in chunks.
std::string Joined(std::string chunks) {
  std::string body;
  while (true) {
    const size_t line = chunks.find("\r\n");
    const size_t size = std::strtoul(chunks.c_str(), nullptr, 16);
    if (line == std::string::npos || size == 0) {
      return body;
    }
    body += chunks.substr(line + 2, size);
    chunks.erase(0, line + 2 + size + 2);
  }
}

// Counts successes with a body that isn't the server's body for the request.
class Clients {
 public:
  Clients(Record* record, uint16_t front) : record_(record) {
    for (int i = 0; i < kClients; ++i) {
      threads_.emplace_back([this, i, front] { Run(i, front); });
    }
  }
  ~Clients() { Stop(); }
  Clients(const Clients&) = delete;
  Clients& operator=(const Clients&) = delete;

  void Stop() {
    stopping_ = true;
    for (std::thread& it : threads_) {
      if (it.joinable()) {
        it.join();
      }
    }
  }
  int answered() const { return answered_; }
  int mixed() const { return mixed_; }

 private:
  void Run(int number, uint16_t front) {
    Connection connection = Connection::To(front);
    std::string rest;
    for (int i = 0; !stopping_; ++i) {
      const std::string id =
          "b" + std::to_string(number) + "-" + std::to_string(i);
      connection.Send(RequestText("/puxa403/2f", id, kDeadlineMs, "", "{}"));
      Message answer = ReadMessage(&connection, &rest, kDeadlineMs, false);
      if (!answer.complete) {
        connection = Connection::To(front);
        rest.clear();
        continue;
      }
      Judge(id, answer);
    }
  }

  void Judge(const std::string& id, const Message& answer) {
    ++answered_;
    const bool is_chunked = !answer.Field("transfer-encoding").empty();
    const std::string body = is_chunked ? Joined(answer.body) : answer.body;
    if (answer.status() == 200 && body != StutteringServer::BodyFor(id)) {
      ++mixed_;
      record_->Add("client: request " + id + " is answered with 200, stamp " +
                   answer.Field("answer-stamp") + ", body: " + body);
    }
  }

  Record* const record_;
  std::atomic<bool> stopping_ = false;
  std::atomic<int> answered_ = 0;
  std::atomic<int> mixed_ = 0;
  std::vector<std::thread> threads_;
};

int Run(Record* record) {
  Deployment deployment;
  if (!deployment.StartStore()) {
    return kCannotRun;
  }
  deployment.Write("op/config",
                   ConfigJson(1, {{"/puxa403/", "non_idempotent", kPlainService,
                                   kDeadlineMs, 0}}));
  std::vector<std::unique_ptr<StutteringServer>> servers;
  servers.reserve(kServers);
  for (int i = 0; i < kServers; ++i) {
    const std::string id = "i-plain-" + std::to_string(i);
    servers.push_back(std::make_unique<StutteringServer>(record, id));
    deployment.Register(id, kPlainService, servers.back()->port(), "");
  }
  Machine machine;
  if (!deployment.StartMachine("front-a-1", "a", &machine)) {
    return kCannotRun;
  }
  SleepMs(kSettleMs);
  Clients clients(record, machine.front);
  for (int round = 0; round < kRounds; ++round) {
    SleepMs(kSoundMs);
    for (int i = 0; i < kSpoiling && WithTrouble(); ++i) {
      servers[static_cast<size_t>(i)]->SetTrouble(kOneIn);
    }
    SleepMs(kSpoiltMs);
    for (auto& server : servers) {
      server->SetTrouble(0);
    }
  }
  SleepMs(kSoundMs);
  clients.Stop();
  int spoilt = 0;
  for (auto& server : servers) {
    spoilt += server->spoilt();
  }
  record->Add(std::to_string(clients.answered()) + " requests are answered, " +
              std::to_string(spoilt) + " of them beside a late piece, and " +
              std::to_string(clients.mixed()) +
              " with the body of another request as well");
  if (clients.answered() == 0) {
    return kCannotRun;
  }
  if (clients.mixed() > 0) {
    record->Add(
        "MIXED is broken: a client gets a success with a body that "
        "isn't the server's whole body");
  }
  return clients.mixed() > 0 ? kBroken : kHeld;
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
