// An engine sends the second copy of an answer late, on a connection that is in
// use again. The answer is a rejection (421) of a request that has been sent
// once more on the same connection. Exits with 1 if a stream that can't be
// resumed ran twice.
#include <algorithm>
#include <atomic>
#include <cstdio>
#include <memory>
#include <random>
#include <thread>

#include "engine.h"
#include "upstream.h"

namespace review {
namespace {

constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kCouldNotRun = 2;
constexpr int kEngines = 5;
constexpr int kFaultyEngines = 3;
constexpr int kClients = 26;
constexpr int64_t kRunMs = 80000;
constexpr int64_t kPauseMs = 600;  // Of a client, between two requests.
constexpr int kAdapters = 3000;
// The fault: three of the five engines send an answer twice, the second time
// when the next request has arrived on the connection; at most one in 34 of
// their answers, for 5 s in every 6 s.
constexpr uint32_t kCopyOneIn = 34;
constexpr int64_t kFaultMs = 5000;
constexpr int64_t kFaultPeriodMs = 6000;

struct Tally {
  std::atomic<int> sent = 0;
  std::atomic<int> served = 0;
  std::atomic<int> refused = 0;
  std::atomic<int> other = 0;
  std::atomic<int> rejections = 0;
  std::atomic<int> copies = 0;
  std::atomic<int> copies_of_same_request = 0;
  std::atomic<int64_t> traffic_from_ms = 0;  // 0: not yet.
  std::atomic<uint32_t> answers = 0;  // Of the faulty engines, since a copy.
};

bool IsFaultTime(const Tally& tally) {
  int64_t from = tally.traffic_from_ms;
  return from != 0 && (NowMs() - from) % kFaultPeriodMs < kFaultMs;
}

Upstream::Handler MakeHandler(std::shared_ptr<EngineContents> contents,
                              RunLog* runs, Record* record, Tally* tally,
                              bool faulty) {
  return [=](Upstream* engine, UpstreamConnection* connection,
             const Message& request) {
    const std::string& name = engine->options().id;
    std::string id = request.Header("request-id");
    if (AnswerEngineCall(engine, contents.get(), connection, request, record)) {
      return true;
    }
    if (!connection->last_answer.empty()) {
      ++tally->copies;
      bool same = connection->last_answer.find("Request-Id: " + id + "\r\n") !=
                  std::string::npos;
      tally->copies_of_same_request += same ? 1 : 0;
      record->Line(name + " sends the copy of an earlier answer when " + id +
                   " arrives" +
                   (same ? ", an answer to the same request" : ""));
      if (!connection->socket.Send(connection->last_answer)) {
        return false;
      }
      connection->last_answer.clear();
    }
    std::string adapter = AdapterOf(request);
    if (!contents->StartRun(adapter)) {
      ++tally->rejections;
      record->Line(name + " rejects " + id + ": " + adapter + " isn't present");
      std::string answer =
          Upstream::Answer(421, id, "Not-Run: adapter\r\n", "not present");
      if (faulty && ++tally->answers >= kCopyOneIn && IsFaultTime(*tally)) {
        tally->answers = 0;
        connection->last_answer = answer;
      }
      return connection->socket.Send(answer);
    }
    record->Line(name + " runs " + id + " on " + adapter);
    runs->Add(id, name);
    bool ok = SendStream(*engine, *connection, id);
    contents->EndRun(adapter);
    tally->answers += faulty ? 1 : 0;
    return ok;
  };
}

void RunClient(uint16_t port, int number, int64_t end_ms, Record* record,
               Tally* tally) {
  std::mt19937 random(static_cast<uint32_t>(number) + 1);
  SleepMs(number * kPauseMs / kClients);
  for (int i = 0; NowMs() < end_ms; ++i) {
    std::string id = "c" + std::to_string(number) + "-" + std::to_string(i);
    std::string adapter = "a" + std::to_string(1 + random() % kAdapters);
    Socket connection = Connect(port, 1000);
    connection.Send(StreamRequest(id, adapter));
    ++tally->sent;
    std::optional<Message> answer =
        Reader(connection.fd()).Read(NowMs() + 6000);
    int status = answer ? answer->status() : 0;
    bool whole = answer && answer->complete;
    (status == 200 && whole ? tally->served
     : status == 503        ? tally->refused
                            : tally->other)++;
    record->Line("client got " + std::to_string(status) +
                 (whole ? "" : ", not whole,") + " for " + id);
    SleepMs(kPauseMs);
  }
}

int Run(const std::string& folder) {
  Record record(folder + "/record.txt");
  Fleet fleet;
  if (!fleet.StartStore()) {
    return kCouldNotRun;
  }
  fleet.WriteConfig(1, EngineConfig());
  RunLog runs;
  Tally tally;
  AdapterStore adapter_store;
  std::vector<std::unique_ptr<Upstream>> engines;
  for (int i = 0; i < kEngines; ++i) {
    auto contents =
        std::make_shared<EngineContents>(EngineOptions(), &adapter_store);
    UpstreamOptions options;
    options.id = "i-" + std::to_string(i);
    options.service = "llm";
    options.zone = i % 2 == 0 ? "a" : "b";
    options.slots = 64;
    options.entry_fields = [contents] {
      return ",\"models\":" + contents->Models();
    };
    bool faulty = HasTrouble() && i < kFaultyEngines;
    engines.push_back(std::make_unique<Upstream>(
        &fleet, options,
        MakeHandler(contents, &runs, &record, &tally, faulty)));
  }
  fleet.StartInstance("front-a-1", "a", {"a", "b"});
  fleet.StartInstance("front-b-1", "b", {"a", "b"});
  if (!fleet.WaitUntilReady("front-a-1", 15000) ||
      !fleet.WaitUntilReady("front-b-1", 15000)) {
    return kCouldNotRun;
  }
  SleepMs(10000);
  tally.traffic_from_ms = NowMs();
  int64_t end = NowMs() + kRunMs;
  std::vector<std::thread> clients;
  for (int i = 0; i < kClients; ++i) {
    uint16_t port = fleet.front_port(i % 2 == 0 ? "front-a-1" : "front-b-1");
    clients.emplace_back(
        [&, port, i] { RunClient(port, i, end, &record, &tally); });
  }
  for (std::thread& client : clients) {
    client.join();
  }
  SleepMs(2000);
  int run_twice = 0;
  for (const auto& [id, servers] : runs.All()) {
    if (servers.size() > 1) {
      ++run_twice;
      record.Line("BROKEN: " + id + " ran " + std::to_string(servers.size()) +
                  " times");
    }
  }
  std::string result = "sent " + std::to_string(tally.sent) + ", served " +
                       std::to_string(tally.served) + ", refused " +
                       std::to_string(tally.refused) + ", other " +
                       std::to_string(tally.other) + ", rejections " +
                       std::to_string(tally.rejections) + ", copies " +
                       std::to_string(tally.copies) + " (to the same request " +
                       std::to_string(tally.copies_of_same_request) +
                       "), ran more than once " + std::to_string(run_twice);
  record.Line(result);
  std::puts(result.c_str());
  if (tally.served == 0) {
    return kCouldNotRun;
  }
  return run_twice > 0 ? kBroken : kHeld;
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) { return argc == 2 ? review::Run(argv[1]) : 2; }
