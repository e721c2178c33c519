// Some streams of some servers consist of line ends without end. Exits with 1
// if, of the requests that have no answer at their route's timeout, more than
// half have none half a second later.
#include <algorithm>
#include <atomic>
#include <cstdio>
#include <fstream>
#include <functional>
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
constexpr int64_t kRunMs = 30000;
constexpr int kServers = 5;
constexpr int kFaultyServers = 3;
// The fault: one in 20 answers of the faulty servers, for 5 s in every 6 s.
constexpr uint32_t kEndlessOneIn = 20;
constexpr int64_t kFaultMs = 5000;
constexpr int64_t kFaultPeriodMs = 6000;
constexpr size_t kLineEndsInPiece = 2000;  // Each in a chunk of its own.
// Streams a second for each instance, and clients of each instance that ask the
// sound service.
constexpr int64_t kReportsPerS = 10;
constexpr int kReportWorkMs = 300;
constexpr int kBookingClients = 10;
constexpr int64_t kTimeoutMs = 1200;  // Of the route of the bookings.
// The bounds of the rule, and the fewest requests that are judged.
constexpr int64_t kLateMs = 500;
constexpr int kFewestUnanswered = 20;

struct Tally {
  std::atomic<int64_t> traffic_from_ms = 0;  // 0: not yet.
  std::atomic<bool> over = false;
  std::atomic<uint32_t> answers = 0;  // Of the faulty servers.
  std::atomic<int> endless = 0;
  std::atomic<int> reports = 0;
  std::atomic<int> bookings = 0;
  std::atomic<int> booked = 0;
  std::atomic<int> unanswered = 0;  // At the timeout of the route.
  std::atomic<int> late = 0;        // Of these, half a second later.
  std::atomic<int64_t> peak_kb = 0;
};

bool IsFaultTime(const Tally& tally) {
  int64_t from = tally.traffic_from_ms;
  return from != 0 && (NowMs() - from) % kFaultPeriodMs < kFaultMs;
}

// Sends line ends, each as an event, until the caller closes.
void SendEndless(const Upstream& server, const UpstreamConnection& connection,
                 const std::string& id, const Tally& tally) {
  std::string piece;
  for (size_t i = 0; i < kLineEndsInPiece; ++i) {
    piece += "1\r\n\n\r\n";
  }
  bool ok = connection.socket.Send(
      "HTTP/1.1 200 OK\r\nRequest-Id: " + id +
      "\r\nAnswer-Stamp: " + server.options().id + "." + id +
      "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: "
      "chunked\r\n\r\n");
  while (ok && !tally.over) {
    ok = connection.socket.Send(piece);
  }
}

Upstream::Handler MakeHandler(RunLog* runs, Record* record, Tally* tally,
                              bool faulty) {
  return [=](Upstream* server, UpstreamConnection* connection,
             const Message& request) {
    std::string id = request.Header("request-id");
    if (!server->TakeSlot()) {
      return connection->socket.Send(server->Rejection(id));
    }
    runs->Add(id, server->options().id);
    bool endless =
        faulty && IsFaultTime(*tally) && ++tally->answers % kEndlessOneIn == 0;
    if (endless) {
      ++tally->endless;
      record->Line(server->options().id + " sends an endless answer to " + id);
      SendEndless(*server, *connection, id, *tally);
      server->FreeSlot();
      return false;
    }
    SleepMs(server->options().work_ms);
    std::string answer = server->Success(id);
    server->FreeSlot();
    return connection->socket.Send(answer);
  };
}

std::string RequestText(const std::string& path, const std::string& id,
                        int deadline_ms) {
  std::string text = "POST " + path + " HTTP/1.1\r\nHost: club.example\r\n";
  text += "Authorization: Token key-1\r\nContent-Length: 2\r\nDeadline-Ms: ";
  text += std::to_string(deadline_ms);
  text += "\r\nRequest-Id: ";
  text += id;
  text += "\r\n\r\nhi";
  return text;
}

void SendReport(uint16_t port, int number, Tally* tally) {
  constexpr int kDeadlineMs = 5000;
  Socket connection = Connect(port, 1000);
  if (connection.valid()) {
    ++tally->reports;
    std::string id = "p" + std::to_string(port) + "-" + std::to_string(number);
    connection.Send(RequestText("/advice/x", id, kDeadlineMs));
    int64_t end = NowMs() + kDeadlineMs;
    Reader reader(connection.fd());
    while (!tally->over && NowMs() < end && !reader.Read(NowMs() + 200)) {
      if (reader.ended()) {
        return;
      }
    }
  }
}

// Sends requests at a constant rate, whatever becomes of them.
void SendReports(uint16_t port, Tally* tally) {
  std::atomic<int> open = 0;
  for (int i = 0; !tally->over; ++i) {
    ++open;
    std::thread([port, i, tally, &open] {
      SendReport(port, i, tally);
      --open;
    }).detach();
    SleepMs(1000 / kReportsPerS);
  }
  while (open > 0) {
    SleepMs(10);
  }
}

// Books, one request after the other.
void Book(uint16_t port, int number, Record* record, Tally* tally) {
  constexpr int kDeadlineMs = 2500;
  for (int i = 0; !tally->over; ++i) {
    std::string id = "b" + std::to_string(port) + "-" + std::to_string(number) +
                     "-" + std::to_string(i);
    Socket connection = Connect(port, 1000);
    if (!connection.valid()) {
      continue;
    }
    connection.Send(RequestText("/book/x", id, kDeadlineMs));
    ++tally->bookings;
    int64_t sent = NowMs();
    Reader reader(connection.fd());
    std::optional<Message> answer = reader.Read(sent + kTimeoutMs);
    if (!answer && !reader.ended()) {
      ++tally->unanswered;
      answer = reader.Read(sent + kTimeoutMs + kLateMs);
      if (!answer && !reader.ended()) {
        ++tally->late;
        record->Line("LATE: " + id + " has no answer 0.5 s after its timeout");
      }
    }
    tally->booked += answer && answer->status() == 200 ? 1 : 0;
    SleepMs(20);
  }
}

int64_t ResidentKb(pid_t pid) {
  std::ifstream status("/proc/" + std::to_string(pid) + "/status");
  std::string line;
  while (std::getline(status, line)) {
    if (line.starts_with("VmRSS:")) {
      return std::atoll(line.c_str() + line.find_first_of("0123456789"));
    }
  }
  return 0;
}

// Notes the memory of a process.
void WatchMemory(Fleet* fleet, const std::string& instance, Record* record,
                 Tally* tally) {
  int64_t peak_kb = 0;
  while (!tally->over) {
    SleepMs(20);
    peak_kb = std::max(peak_kb, ResidentKb(fleet->pid(instance)));
  }
  record->Line(instance + " took " + std::to_string(peak_kb) + " KB at most");
  if (peak_kb > tally->peak_kb) {
    tally->peak_kb = peak_kb;
  }
}

int Run(const std::string& folder) {
  Record record(folder + "/record.txt");
  Fleet fleet;
  if (!fleet.StartStore()) {
    return kCouldNotRun;
  }
  ConfigText config;
  config.services = R"({"name":"app"},{"name":"reports"})";
  config.routes =
      R"({"name":"book","host":"club.example","prefix":"/book/",)"
      R"("kind":"non_idempotent","attempts":1,"timeoutMs":1200,"goalMs":150,)"
      R"("service":"app"},{"name":"advice","host":"club.example",)"
      R"("prefix":"/advice/","kind":"stream","attempts":1,"gapAimMs":400,)"
      R"("timeoutMs":5000,"goalMs":1000,"service":"reports"})";
  config.tenants = R"({"name":"t1","apiKeys":["key-1"]})";
  fleet.WriteConfig(1, config);
  RunLog runs;
  Tally tally;
  std::vector<std::unique_ptr<Upstream>> servers;
  for (int i = 0; i < kServers; ++i) {
    UpstreamOptions options;
    options.id = "r-" + std::to_string(i);
    options.service = "reports";
    options.zone = i % 2 == 0 ? "a" : "b";
    options.slots = 64;
    options.work_ms = kReportWorkMs;
    bool faulty = HasTrouble() && i < kFaultyServers;
    servers.push_back(std::make_unique<Upstream>(
        &fleet, options, MakeHandler(&runs, &record, &tally, faulty)));
  }
  for (const char* zone : {"a", "b"}) {
    UpstreamOptions options;
    options.id = std::string("i-") + zone;
    options.service = "app";
    options.zone = zone;
    options.slots = 64;
    servers.push_back(std::make_unique<Upstream>(
        &fleet, options, MakeHandler(&runs, &record, &tally, false)));
  }
  const std::vector<std::string> instances = {"front-a-1", "front-b-1"};
  fleet.StartInstance(instances[0], "a", {"a", "b"});
  fleet.StartInstance(instances[1], "b", {"a", "b"});
  for (const std::string& instance : instances) {
    if (!fleet.WaitUntilReady(instance, 15000)) {
      return kCouldNotRun;
    }
  }
  SleepMs(kLeadMs);
  tally.traffic_from_ms = NowMs();
  std::vector<std::thread> threads;
  for (const std::string& instance : instances) {
    uint16_t port = fleet.front_port(instance);
    threads.emplace_back(SendReports, port, &tally);
    for (int i = 0; i < kBookingClients; ++i) {
      threads.emplace_back(Book, port, i, &record, &tally);
    }
    threads.emplace_back(WatchMemory, &fleet, instance, &record, &tally);
  }
  SleepMs(kRunMs);
  tally.over = true;
  for (std::thread& thread : threads) {
    thread.join();
  }
  std::string result = "streams " + std::to_string(tally.reports) +
                       ", endless ones " + std::to_string(tally.endless) +
                       ", memory at its peak " + std::to_string(tally.peak_kb) +
                       " KB, bookings " + std::to_string(tally.bookings) +
                       ", served " + std::to_string(tally.booked) +
                       ", without an answer at their timeout " +
                       std::to_string(tally.unanswered) +
                       ", half a second later " + std::to_string(tally.late);
  record.Line(result);
  std::puts(result.c_str());
  if (tally.booked == 0) {
    return kCouldNotRun;
  }
  bool broken = tally.unanswered >= kFewestUnanswered &&
                tally.late * 2 > tally.unanswered;
  return broken ? kBroken : kHeld;
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) { return argc == 2 ? review::Run(argv[1]) : 2; }
