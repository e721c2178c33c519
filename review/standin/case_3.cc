// Engines lose their link to the store for 5 s, one after the other, after
// all processes of the system were killed. Exits with 1 if less than a quarter
// of the later requests is served.
#include <algorithm>
#include <atomic>
#include <csignal>
#include <cstdio>
#include <functional>
#include <iterator>
#include <memory>
#include <mutex>
#include <thread>

#include "engine.h"
#include "upstream.h"

namespace review {
namespace {

constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kCouldNotRun = 2;
constexpr int kEngines = 5;
constexpr int kAdapters = 40;
constexpr int64_t kRequestPeriodMs = 100;
constexpr int64_t kLeadMs = 10000;
constexpr int64_t kBeforeFaultMs = 10000;
constexpr int64_t kDownMs = 700;
// The cuts: one engine of five at a time.
constexpr int64_t kFirstCutMs = 2000;
constexpr int64_t kCutMs = 5000;
constexpr int64_t kCutPeriodMs = 6000;
constexpr int64_t kRecoverMs = 12000;  // The bound of the rule.
constexpr int64_t kMeasureMs = 15000;

// A request of a client.
struct Request {
  int64_t sent_ms = 0;
  bool served = false;
};

// What clients have seen. Thread-safe.
class Tally {
 public:
  void Add(const Request& request) {
    std::lock_guard lock(mutex_);
    requests_.push_back(request);
  }
  // The requests that were sent from `from_ms` until `to_ms`.
  std::vector<Request> Between(int64_t from_ms, int64_t to_ms) {
    std::lock_guard lock(mutex_);
    std::vector<Request> sent;
    std::copy_if(requests_.begin(), requests_.end(), std::back_inserter(sent),
                 [=](const Request& request) {
                   return request.sent_ms >= from_ms && request.sent_ms < to_ms;
                 });
    return sent;
  }

 private:
  std::mutex mutex_;
  std::vector<Request> requests_;
};

Upstream::Handler MakeHandler(std::shared_ptr<EngineContents> contents,
                              Record* record) {
  return [=](Upstream* engine, UpstreamConnection* connection,
             const Message& request) {
    if (AnswerEngineCall(engine, contents.get(), connection, request, record)) {
      return true;
    }
    const std::string& name = engine->options().id;
    std::string id = request.Header("request-id");
    std::string adapter = AdapterOf(request);
    if (!contents->StartRun(adapter)) {
      record->Line(name + " rejects " + id + ": " + adapter + " isn't present");
      return connection->socket.Send(
          Upstream::Answer(421, id, "Not-Run: adapter\r\n", "not present"));
    }
    record->Line(name + " runs " + id + " on " + adapter);
    bool ok = SendStream(*engine, *connection, id);
    contents->EndRun(adapter);
    return ok;
  };
}

void Send(uint16_t port, int number, Record* record, Tally* tally) {
  std::string id = "c" + std::to_string(number);
  // Spread over the adapters, the same in each run.
  int adapter = 1 + number * 17 % kAdapters;
  Request request;
  request.sent_ms = NowMs();
  Socket connection = Connect(port, 1000);
  int status = 0;
  if (connection.valid()) {
    connection.Send(StreamRequest(id, "a" + std::to_string(adapter)));
    std::optional<Message> answer =
        Reader(connection.fd()).Read(NowMs() + 5000);
    status = answer ? answer->status() : 0;
    request.served = status == 200 && answer->complete;
  }
  tally->Add(request);
  record->Line("client got " + std::to_string(status) + " for " + id);
}

// Sends requests at a constant rate, whatever becomes of them.
void SendRequests(const std::vector<uint16_t>& ports,
                  const std::atomic<bool>& over, Record* record, Tally* tally) {
  std::vector<std::thread> open;
  for (size_t i = 0; !over; ++i) {
    open.emplace_back(Send, ports[i % ports.size()], static_cast<int>(i),
                      record, tally);
    SleepMs(kRequestPeriodMs);
  }
  for (std::thread& thread : open) {
    thread.join();
  }
}

size_t CountServed(const std::vector<Request>& requests) {
  return static_cast<size_t>(
      std::count_if(requests.begin(), requests.end(),
                    [](const Request& request) { return request.served; }));
}

bool IsUnderQuarter(const std::vector<Request>& requests) {
  return CountServed(requests) * 4 < requests.size();
}

std::string Text(const std::vector<Request>& requests) {
  return std::to_string(CountServed(requests)) + " of " +
         std::to_string(requests.size());
}

int Run(const std::string& folder) {
  Record record(folder + "/record.txt");
  Fleet fleet;
  if (!fleet.StartStore()) {
    return kCouldNotRun;
  }
  fleet.WriteConfig(1, EngineConfig());
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
    engines.push_back(std::make_unique<Upstream>(
        &fleet, options, MakeHandler(contents, &record)));
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
  Tally tally;
  std::atomic<bool> over = false;
  std::thread sender(SendRequests,
                     std::vector<uint16_t>{fleet.front_port(instances[0]),
                                           fleet.front_port(instances[1])},
                     std::cref(over), &record, &tally);
  int64_t started = NowMs();
  SleepMs(kBeforeFaultMs);
  int64_t killed = NowMs();
  record.Line("final fault: all processes of the system are killed");
  for (const std::string& instance : instances) {
    fleet.Signal(instance, SIGKILL);
  }
  SleepMs(kDownMs);
  for (const std::string& instance : instances) {
    int status = 0;
    fleet.HasEnded(instance, &status);
    fleet.RestartInstance(instance);
  }
  int64_t back = NowMs();
  record.Line("the processes are back");
  SleepMs(kFirstCutMs);
  for (const auto& engine : engines) {
    if (HasTrouble()) {
      record.Line("the link between " + engine->options().id +
                  " and the store is cut for 5 s");
      engine->CutFromStore(kCutMs);
    }
    SleepMs(kCutPeriodMs);
  }
  SleepMs(kRecoverMs);
  int64_t recovered = NowMs();
  record.Line("12 s since the end of the last cut");
  SleepMs(kMeasureMs);
  int64_t end = NowMs();
  over = true;
  sender.join();
  std::vector<Request> before = tally.Between(started, killed);
  // As the rule is written, and from the end of the disruption on.
  std::vector<Request> later = tally.Between(back + kRecoverMs, end);
  std::vector<Request> at_last = tally.Between(recovered, end);
  std::string result = "served before the fault " + Text(before) +
                       ", of those sent 12 s after the return of the " +
                       "processes " + Text(later) +
                       ", 12 s after the end of the last cut " + Text(at_last);
  record.Line(result);
  std::puts(result.c_str());
  if (IsUnderQuarter(before)) {
    return kCouldNotRun;
  }
  return IsUnderQuarter(later) && IsUnderQuarter(at_last) ? kBroken : kHeld;
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) { return argc == 2 ? review::Run(argv[1]) : 2; }
