// A server sends additional bytes after a complete answer, late: a second copy
// of it that breaks off in its head. Exits with 1 if a client gets an answer
// with the signature of a server and another status than that server gave.
#include <atomic>
#include <cstdio>
#include <map>
#include <memory>
#include <mutex>
#include <thread>

#include "upstream.h"

namespace review {
namespace {

constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kCouldNotRun = 2;
constexpr int64_t kLeadMs = 6000;
constexpr int64_t kRunMs = 80000;
constexpr int kClients = 16;
constexpr int64_t kPauseMs = 100;  // Of a client, between two requests.
constexpr int kServers = 5;
constexpr int kFaultyServers = 3;
// The fault: one in 34 answers of the faulty servers, for 5 s in every 6 s.
constexpr uint32_t kCopyOneIn = 34;
constexpr size_t kCopyBytes = 40;
constexpr int64_t kFaultMs = 5000;
constexpr int64_t kFaultPeriodMs = 6000;
// Of the look-ups, as on the site.
constexpr uint32_t kErrorOneIn = 7;

struct Tally {
  std::atomic<int64_t> traffic_from_ms = 0;  // 0: not yet.
  std::atomic<uint32_t> answers = 0;         // Of the faulty servers.
  std::atomic<uint32_t> look_ups = 0;
  std::atomic<int> sent = 0;
  std::atomic<int> served = 0;
  std::atomic<int> copies = 0;
  std::atomic<int> mixed = 0;
};

// The status of each answer, by its signature.
class Signatures {
 public:
  std::string Sign(const std::string& server, int status) {
    std::lock_guard lock(mutex_);
    std::string stamp = server + "." + std::to_string(statuses_.size());
    statuses_[stamp] = status;
    return stamp;
  }
  int StatusOf(const std::string& stamp) {
    std::lock_guard lock(mutex_);
    auto it = statuses_.find(stamp);
    return it == statuses_.end() ? 0 : it->second;
  }

 private:
  std::mutex mutex_;
  std::map<std::string, int> statuses_;
};

bool IsFaultTime(const Tally& tally) {
  int64_t from = tally.traffic_from_ms;
  return from != 0 && (NowMs() - from) % kFaultPeriodMs < kFaultMs;
}

std::string SignedAnswer(const std::string& id, const std::string& stamp,
                         int status) {
  std::string body = (status == 200 ? "done " : "failed ") + id;
  std::string answer = status == 200 ? "HTTP/1.1 200 OK\r\n"
                                     : "HTTP/1.1 500 Internal Server Error\r\n";
  answer += "Content-Type: text/plain; charset=utf-8\r\nContent-Length: ";
  answer += std::to_string(body.size());
  answer += "\r\nRequest-Id: ";
  answer += id;
  answer += "\r\nAnswer-Stamp: ";
  answer += stamp;
  answer += "\r\n\r\n";
  answer += body;
  return answer;
}

Upstream::Handler MakeHandler(Signatures* signatures, Record* record,
                              Tally* tally, bool faulty) {
  return [=](Upstream* server, UpstreamConnection* connection,
             const Message& request) {
    const std::string& name = server->options().id;
    std::string id = request.Header("request-id");
    if (!connection->last_answer.empty()) {
      ++tally->copies;
      record->Line(name + " sends " + std::to_string(kCopyBytes) +
                   " bytes of its last answer once more when " + id +
                   " arrives");
      connection->socket.Send(connection->last_answer.substr(0, kCopyBytes));
      connection->last_answer.clear();
    }
    if (!server->TakeSlot()) {
      return connection->socket.Send(server->Rejection(id));
    }
    bool fails =
        request.path() == "/status/x" && ++tally->look_ups % kErrorOneIn == 0;
    int status = fails ? 500 : 200;
    SleepMs(server->options().work_ms);
    std::string stamp = signatures->Sign(name, status);
    std::string answer = SignedAnswer(id, stamp, status);
    server->FreeSlot();
    record->Line(name + " answers " + std::to_string(status) + " to " + id +
                 ", signed " + stamp);
    bool copy =
        faulty && IsFaultTime(*tally) && ++tally->answers % kCopyOneIn == 0;
    if (copy) {
      connection->last_answer = answer;
    }
    return connection->socket.Send(answer);
  };
}

void RunClient(uint16_t port, int number, int64_t end_ms,
               Signatures* signatures, Record* record, Tally* tally) {
  SleepMs(number * kPauseMs / kClients);
  Socket connection;
  for (int i = 0; NowMs() < end_ms; ++i) {
    if (!connection.valid()) {
      connection = Connect(port, 1000);
    }
    std::string id = "c" + std::to_string(number) + "-" + std::to_string(i);
    std::string request = i % 2 == 0 ? "POST /book/x" : "POST /status/x";
    request +=
        " HTTP/1.1\r\nHost: club.example\r\nDeadline-Ms: 2500\r\n"
        "Authorization: Token key-1\r\nContent-Length: 2\r\nRequest-Id: ";
    request += id;
    request += "\r\n\r\nhi";
    connection.Send(request);
    ++tally->sent;
    std::optional<Message> answer =
        Reader(connection.fd()).Read(NowMs() + 3000);
    int status = answer ? answer->status() : 0;
    std::string stamp = answer ? answer->Header("answer-stamp") : "";
    if (status == 0 || answer->Header("connection") == "close") {
      connection = Socket();
    }
    tally->served += status == 200 ? 1 : 0;
    int given = signatures->StatusOf(stamp);
    if (!stamp.empty() && given != status) {
      ++tally->mixed;
      std::string line = "BROKEN: client got " + std::to_string(status);
      line += " for " + id;
      line += ", signed " + stamp;
      line += ", body \"" + answer->body;
      line += "\"; the server gave " + std::to_string(given);
      record->Line(line);
    }
    SleepMs(kPauseMs);
  }
}

int Run(const std::string& folder) {
  Record record(folder + "/record.txt");
  Fleet fleet;
  if (!fleet.StartStore()) {
    return kCouldNotRun;
  }
  ConfigText config;
  config.services = R"({"name":"app"})";
  config.routes =
      R"({"name":"book","host":"club.example","prefix":"/book/",)"
      R"("kind":"non_idempotent","attempts":1,"timeoutMs":1200,"goalMs":150,)"
      R"("service":"app"},{"name":"status","host":"club.example",)"
      R"("prefix":"/status/","kind":"idempotent","attempts":2,)"
      R"("timeoutMs":1200,"goalMs":150,"service":"app"})";
  config.tenants = R"({"name":"t1","apiKeys":["key-1"]})";
  fleet.WriteConfig(1, config);
  Signatures signatures;
  Tally tally;
  std::vector<std::unique_ptr<Upstream>> servers;
  for (int i = 0; i < kServers; ++i) {
    UpstreamOptions options;
    options.id = "i-" + std::to_string(i);
    options.service = "app";
    options.zone = i % 2 == 0 ? "a" : "b";
    bool faulty = HasTrouble() && i < kFaultyServers;
    servers.push_back(std::make_unique<Upstream>(
        &fleet, options, MakeHandler(&signatures, &record, &tally, faulty)));
  }
  fleet.StartInstance("front-a-1", "a", {"a", "b"});
  fleet.StartInstance("front-b-1", "b", {"a", "b"});
  if (!fleet.WaitUntilReady("front-a-1", 15000) ||
      !fleet.WaitUntilReady("front-b-1", 15000)) {
    return kCouldNotRun;
  }
  SleepMs(kLeadMs);
  tally.traffic_from_ms = NowMs();
  int64_t end = NowMs() + kRunMs;
  std::vector<std::thread> clients;
  for (int i = 0; i < kClients; ++i) {
    uint16_t port = fleet.front_port(i % 2 == 0 ? "front-a-1" : "front-b-1");
    clients.emplace_back([&, port, i] {
      RunClient(port, i, end, &signatures, &record, &tally);
    });
  }
  for (std::thread& client : clients) {
    client.join();
  }
  std::string result =
      "sent " + std::to_string(tally.sent) + ", served " +
      std::to_string(tally.served) + ", copies that broke off " +
      std::to_string(tally.copies) + ", answers with another status than " +
      "their server gave " + std::to_string(tally.mixed);
  record.Line(result);
  std::puts(result.c_str());
  if (tally.served == 0) {
    return kCouldNotRun;
  }
  return tally.mixed > 0 ? kBroken : kHeld;
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) { return argc == 2 ? review::Run(argv[1]) : 2; }
