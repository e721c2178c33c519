// An instance that stops while callers go on to send it requests, on
// connections that are open and on new ones, and upstreams whose answers take
// as long as the request's path says.
#pragma once

#include <algorithm>
#include <cstdlib>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <utility>

#include "gateway_fixture.h"
#include "stopping_instance.h"
#include "transport/timer.h"

namespace bilberrypitch {

// What a caller sent and got.
struct StopCall {
  std::string id;
  std::string path;
  Millis deadline;
  Millis sent_at;
  Millis ended_at;
  std::optional<CallOutcome> outcome;

  bool rejected() const { return outcome && outcome->status == 503; }
  bool answered_whole() const {
    return outcome && outcome->result == CallResult::kComplete &&
           outcome->status == 200;
  }
  // It got a whole answer, or the promise that it has not run.
  bool unharmed() const { return rejected() || answered_whole(); }
};

class StopFixture : public Fixture {
 public:
  // Between two events of a stream.
  static constexpr Millis kEventInterval{50};

  StopFixture(Millis grace, Millis latency_target)
      : grace_(grace), latency_target_(latency_target) {
    first.SetHandler([this](const HttpRequest& request, Responder* responder) {
      OnUpstreamRequest(request, responder);
    });
  }

  // Starts an instance that knows the upstream, and waits until it is ready.
  std::unique_ptr<StoppingInstance> StartInstance(bool with_upstream = true) {
    InstanceSettings settings;
    settings.machine = MachineId(fmt::format("stop-{}", ++instances_));
    settings.ip = "127.0.0.1";
    settings.zone = ZoneId("z");
    settings.caller_address = LocalAddress(FreePort());
    settings.ready_address = LocalAddress(FreePort());
    settings.peer_address = LocalAddress(FreePort());
    settings.bounds.shutdown_grace = grace_;
    auto instance =
        std::make_unique<StoppingInstance>(settings, [&](FakeStore* to) {
          to->Put("op/config", ConfigText());
          if (with_upstream) {
            to->Put("servers/i-1", UpstreamText());
          }
        });
    Millis end = EventLoop::Now() + kStartTimeout;
    while (StatusOf(instance->ready_address()) != 200) {
      REQUIRE(EventLoop::Now() < end);
    }
    return instance;
  }

  // Routes by the kind of request. No key is required.
  std::string ConfigText() const {
    std::string routes;
    for (const char* route :
         {R"("name":"once","prefix":"/once/","kind":"non_idempotent")",
          R"("name":"read","prefix":"/read/","kind":"idempotent")",
          R"("name":"stream","prefix":"/stream/","kind":"stream")"}) {
      routes += fmt::format(
          R"({}{{{},"host":"h","timeoutMs":30000,"goalMs":{},"attempts":1,
              "service":"s"}})",
          routes.empty() ? "" : ",", route, latency_target_.count());
    }
    return fmt::format(R"({{"version":1,"routes":[{}],
        "services":[{{"name":"s"}}],"tenants":[]}})",
                       routes);
  }

  std::string UpstreamText() const {
    return fmt::format(R"({{"service":"s","addr":"{}","zone":"z",
        "capacity":500,"state":"ready","born":1}})",
                       first.address());
  }

  // The answer to `path` takes the milliseconds that are its last segment.
  StopCall* Send(const std::string& address, const std::string& path,
                 Millis deadline, bool new_connection = false) {
    calls_.push_back({});
    StopCall* sent = &calls_.back();
    HttpCall call;
    call.method = "POST";
    call.address = address;
    call.target = path;
    call.body = "body";
    call.new_connection = new_connection;
    call.send_once = !new_connection;
    sent->id = fmt::format("stop{}", calls_.size());
    sent->path = path;
    sent->deadline = deadline;
    sent->sent_at = EventLoop::Now();
    call.headers.Add("Host", "h");
    call.headers.Add("Request-Id", sent->id);
    call.headers.Add("Deadline-Ms", std::to_string(deadline.count()));
    call.on_done = [sent](CallOutcome outcome) {
      sent->ended_at = EventLoop::Now();
      sent->outcome = std::move(outcome);
    };
    control()->Start(std::move(call));
    return sent;
  }

  void Stop(StoppingInstance* instance) {
    stop_started_at_ = EventLoop::Now();
    instance->Stop();
  }
  void WaitUntilGone(const StoppingInstance& instance) {
    WaitUntil([&] { return instance.gone(); });
  }
  void WaitUntilAllEnded() {
    WaitUntil([this] {
      return std::all_of(calls_.begin(), calls_.end(), [](const auto& call) {
        return call.outcome.has_value();
      });
    });
  }
  void WaitUntilElapsed(Millis since_stop) {
    WaitUntil(
        [&] { return EventLoop::Now() >= stop_started_at_ + since_stop; });
  }

  Millis stop_started_at() const { return stop_started_at_; }
  const std::list<StopCall>& calls() const { return calls_; }
  // Arrivals of the request at an upstream.
  std::vector<Millis> RunsOf(const std::string& id) const {
    auto it = runs_.find(id);
    return it == runs_.end() ? std::vector<Millis>() : it->second;
  }

 private:
  static constexpr Millis kStartTimeout{10 * 1000};

  int StatusOf(const std::string& address) {
    HttpCall call;
    call.address = address;
    call.target = "/readyz";
    return Fixture::Send(std::move(call)).status;
  }

  void OnUpstreamRequest(const HttpRequest& request, Responder* responder) {
    runs_[std::string(request.headers.Get("Request-Id"))].push_back(
        EventLoop::Now());
    Millis work(std::atoi(request.path.c_str() + request.path.rfind('/') + 1));
    timers_.push_back(std::make_unique<Timer>(&loop));
    Timer* timer = timers_.back().get();
    if (!request.path.starts_with("/stream/")) {
      timer->Start(work, [request, responder] {
        responder->Send(FakeUpstream::OkResponse(request));
      });
      return;
    }
    responder->StartStream(200, FakeUpstream::OkResponse(request).headers);
    WriteEvents(timer, responder, 1, EventLoop::Now() + work);
  }

  void WriteEvents(Timer* timer, Responder* responder, int number, Millis end) {
    responder->Write(fmt::format("id: {}\ndata: x\n\n", number));
    if (EventLoop::Now() >= end) {
      responder->EndStream();
      return;
    }
    timer->Start(kEventInterval, [this, timer, responder, number, end] {
      WriteEvents(timer, responder, number + 1, end);
    });
  }

  std::list<StopCall> calls_;
  std::map<std::string, std::vector<Millis>> runs_;
  std::vector<std::unique_ptr<Timer>> timers_;
  Millis stop_started_at_;
  const Millis grace_;
  const Millis latency_target_;
  int instances_ = 0;
};

}  // namespace bilberrypitch
