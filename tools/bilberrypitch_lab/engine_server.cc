// The upstreams' stand-in.
#include "engine_server.h"

#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <cstdlib>

#include "base/base64.h"

namespace bilberrypitch::lab {
namespace {

// The platform's bound between orders of two holders.
constexpr Millis kOrderTurn{3000};
constexpr size_t kMostInTransit = 4;
constexpr int kOverfilledExit = 3;
constexpr int kCrashExit = 1;
constexpr int64_t kBeatsUntilGone = 3;

int64_t UnixMs() {
  auto now = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

int64_t NumberOr(std::string_view text, int64_t otherwise) {
  return text.empty() ? otherwise : std::atoll(std::string(text).c_str());
}

HttpResponse Refusal(int status) {
  HttpResponse response = JsonResponse(status, json::object());
  response.headers.Add("Not-Run", "1");
  return response;
}

bool Streams(const std::string& path) {
  return path.starts_with("/stream/") || path.starts_with("/resume/");
}

}  // namespace

EngineServer::EngineServer(EventLoop* loop, EngineOptions options)
    : loop_(loop),
      options_(std::move(options)),
      started_ms_(UnixMs()),
      client_(loop),
      step_(loop),
      beat_(loop),
      drain_(loop) {
  HttpServerOptions server = LabServerOptions(options_.port);
  server.loop = loop;
  server.on_connection_closed = [this](uint64_t connection) {
    OnClosed(connection);
  };
  server_ = std::make_unique<HttpServer>(
      server,
      [this](HttpRequest request, std::shared_ptr<Responder> responder) {
        Handle(std::move(request), std::move(responder));
      });
  Heartbeat();
  Step();
}

EngineServer::~EngineServer() { server_->Stop(); }

void EngineServer::Drain(std::function<void()> done) {
  draining_ = true;
  Heartbeat();
  drain_.Start(Millis(options_.drain_ms), [this, done = std::move(done)] {
    Write("/lab/remove", {{"key", "servers/" + options_.id}});
    drain_.Start(Millis(options_.step_ms * 10), done);
  });
}

void EngineServer::Handle(HttpRequest request,
                          std::shared_ptr<Responder> responder) {
  if (request.path == "/lab/faults") {
    SetFaults(ParseObject(request.body));
    responder->Send(JsonResponse(200, json::object()));
    return;
  }
  if (request.path == "/lab/facts") {
    responder->Send(JsonResponse(200, FactsJson()));
    return;
  }
  if (!request.headers.Get("Authorization").empty()) {
    ++facts_.credentials_seen;
  }
  std::string_view meant = request.headers.Get("Expect-Instance");
  if (!meant.empty() && meant != options_.id) {
    ++facts_.misdirected;
    responder->Send(Refusal(421));
  } else if (request.path == "/report") {
    responder->Send(JsonResponse(200, ReportJson()));
  } else if (request.path == "/order") {
    HttpResponse response = Order(ParseObject(request.body));
    if (faults_.lose_orders) {
      unanswered_.push_back(std::move(responder));
      return;
    }
    responder->Send(std::move(response));
  } else if (request.path == "/healthz") {
    HttpResponse response = JsonResponse(draining_ ? 503 : 200, json::object());
    response.headers.Add("Instance", options_.id);
    responder->Send(std::move(response));
  } else {
    StartRun(std::move(request), std::move(responder));
  }
}

void EngineServer::StartRun(HttpRequest request,
                            std::shared_ptr<Responder> responder) {
  std::string model(request.headers.Get("Model"));
  size_t slash = model.find('/');
  Run it;
  it.adapter = slash == std::string::npos ? "" : model.substr(slash + 1);
  auto place = places_.find(it.adapter);
  bool present = model.substr(0, slash) == options_.model;
  if (present && !it.adapter.empty()) {
    int64_t needed = NumberOr(request.headers.Get("Expect-Version"), 0);
    present = place != places_.end() &&
              place->second.ready <= EventLoop::Now() &&
              place->second.version >= needed;
  }
  if (!present) {
    responder->Send(Refusal(421));
    return;
  }
  bool leaving = place != places_.end() && place->second.leaving;
  if (faults_.refuse || leaving || waiting_.size() >= options_.queue_length) {
    responder->Send(Refusal(503));
    return;
  }
  std::string_view tokens = request.headers.Get("Tokens");
  size_t comma = tokens.find(',');
  it.tokens_left =
      comma == std::string_view::npos
          ? 1
          : std::max<int64_t>(1, NumberOr(tokens.substr(comma + 1), 1));
  // Resumed after event N: the N events before are made already.
  it.tokens_made = NumberOr(request.headers.Get("Last-Event-Id"), 0);
  it.tokens_left = std::max<int64_t>(1, it.tokens_left - it.tokens_made);
  it.stream = Streams(request.path);
  it.request = std::move(request);
  it.responder = std::move(responder);
  waiting_.push_back(std::move(it));
}

HttpResponse EngineServer::Order(const json::object& order) {
  int64_t fence = IntOr(order, "fence", -1);
  if (fence < 0 || StringOr(order, "holder", "").empty()) {
    return JsonResponse(400, json::object());
  }
  if (fence < highest_fence_) {
    ++facts_.orders_refused;
    return JsonResponse(412, json::object());
  }
  if (IntOr(order, "expected", orders_) != orders_) {
    ++facts_.orders_refused;
    return JsonResponse(409, json::object());
  }
  highest_fence_ = fence;
  std::string op = StringOr(order, "op", "");
  if (op != "load" && op != "unload") {
    return JsonResponse(400, json::object());
  }
  return op == "load" ? Load(order) : Unload(order);
}

void EngineServer::CountOrder(const json::object& order) {
  ++orders_;
  std::string holder = StringOr(order, "holder", "");
  Millis now = EventLoop::Now();
  if (!last_holder_.empty() && holder != last_holder_ &&
      now - last_order_ < kOrderTurn) {
    ++facts_.hasty_holders;
  }
  last_holder_ = holder;
  last_order_ = now;
}

HttpResponse EngineServer::Load(const json::object& order) {
  std::string adapter = StringOr(order, "adapter", "");
  if (StringOr(order, "model", "") != options_.model || adapter.empty()) {
    return JsonResponse(200, json::object());
  }
  int64_t version = std::max<int64_t>(1, IntOr(order, "version", 1));
  Millis now = EventLoop::Now();
  auto known = places_.find(adapter);
  if (known != places_.end() && known->second.version >= version) {
    return JsonResponse(200, json::object());
  }
  auto in_transit =
      std::count_if(places_.begin(), places_.end(),
                    [&](const auto& it) { return it.second.ready > now; });
  if (static_cast<size_t>(in_transit) >= kMostInTransit) {
    return JsonResponse(409, json::object());
  }
  if (known == places_.end() && places_.size() >= options_.adapter_slots) {
    fmt::print(stderr, "engine: {} was ordered more than it holds.\n",
               options_.id);
    std::_Exit(kOverfilledExit);
  }
  CountOrder(order);
  ++facts_.loads;
  places_[adapter] = {version, now + Millis(options_.load_ms), false};
  return JsonResponse(202, json::object());
}

HttpResponse EngineServer::Unload(const json::object& order) {
  std::string adapter = StringOr(order, "adapter", "");
  auto it = places_.find(adapter);
  if (it == places_.end()) {
    return JsonResponse(200, json::object());
  }
  CountOrder(order);
  ++facts_.unloads;
  if (InUse(adapter)) {
    ++facts_.unloads_in_use;
    it->second.leaving = true;
    return JsonResponse(202, json::object());
  }
  places_.erase(it);
  return JsonResponse(200, json::object());
}

bool EngineServer::InUse(const std::string& adapter) const {
  auto uses = [&](const Run& it) { return it.adapter == adapter; };
  return std::any_of(running_.begin(), running_.end(), uses) ||
         std::any_of(waiting_.begin(), waiting_.end(), uses);
}

json::array EngineServer::ModelsJson() const {
  if (options_.model.empty()) {
    return {};
  }
  json::array adapters;
  for (const auto& [name, it] : places_) {
    if (it.ready <= EventLoop::Now()) {
      adapters.push_back(json::value(fmt::format("{}@{}", name, it.version)));
    }
  }
  return {json::object{{"name", options_.model},
                       {"version", 1},
                       {"adapters", std::move(adapters)}}};
}

json::object EngineServer::ReportJson() const {
  json::array pending;
  for (const auto& [name, it] : places_) {
    if (it.ready > EventLoop::Now()) {
      pending.push_back(json::value(
          fmt::format("{}/{}@{}", options_.model, name, it.version)));
    }
  }
  return {{"phase", "mixed"},
          {"models", ModelsJson()},
          {"busy", false},
          {"seq", orders_},
          {"queued", waiting_.size()},
          {"active", running_.size()},
          {"pending", pending},
          {"born", started_ms_}};
}

json::object EngineServer::FactsJson() const {
  json::object runs;
  for (const auto& [body, n] : runs_) {
    runs[body] = n;
  }
  return {{"completions", facts_.completions},
          {"cancelled", facts_.cancelled},
          {"misdirected", facts_.misdirected},
          {"loads", facts_.loads},
          {"unloads", facts_.unloads},
          {"unloads_in_use", facts_.unloads_in_use},
          {"credentials_seen", facts_.credentials_seen},
          {"orders_refused", facts_.orders_refused},
          {"hasty_holders", facts_.hasty_holders},
          {"runs_twice", facts_.runs_twice},
          {"running", running_.size()},
          {"waiting", waiting_.size()},
          {"runs", std::move(runs)}};
}

void EngineServer::SetFaults(const json::object& object) {
  faults_.crash_on = StringOr(object, "crash_on", "");
  faults_.wrong_id = BoolOr(object, "wrong_id", false);
  faults_.truncate = BoolOr(object, "truncate", false);
  faults_.lose_orders = BoolOr(object, "lose_orders", false);
  faults_.refuse = BoolOr(object, "refuse", false);
  if (BoolOr(object, "drain", false)) {
    draining_ = true;
    Heartbeat();
  }
}

void EngineServer::Step() {
  step_.Start(Millis(options_.step_ms), [this] { Step(); });
  while (!waiting_.empty() && running_.size() < options_.batch_slots) {
    running_.splice(running_.end(), waiting_, waiting_.begin());
  }
  for (auto it = running_.begin(); it != running_.end();) {
    it = Advance(&*it) ? std::next(it) : running_.erase(it);
  }
  std::erase_if(places_, [this](const auto& it) {
    return it.second.leaving && !InUse(it.first);
  });
}

// False when the run has ended.
bool EngineServer::Advance(Run* it) {
  if (!it->started) {
    it->started = true;
    ++runs_[it->request.body];
    std::string id(it->request.headers.Get("Request-Id"));
    if (!Streams(it->request.path) && !once_.insert(id).second) {
      ++facts_.runs_twice;
    }
    if (!faults_.crash_on.empty() &&
        it->request.body.find(faults_.crash_on) != std::string::npos) {
      fmt::print(stderr, "engine: {} crashes.\n", options_.id);
      std::_Exit(kCrashExit);
    }
    if (it->stream) {
      HttpHeaders headers;
      headers.Add("Content-Type", "text/event-stream");
      headers.Add("Request-Id", faults_.wrong_id ? "another" : id);
      headers.Add("Answer-Stamp", options_.id);
      it->responder->StartStream(200, headers);
    }
  }
  --it->tokens_left;
  ++it->tokens_made;
  if (it->stream) {
    it->responder->WriteChunk(
        fmt::format("id: {0}\ndata: t{0}\n\n", it->tokens_made), {});
    if (faults_.truncate && it->tokens_made >= 2) {
      it->responder->AbortStream();
      return false;
    }
  }
  if (it->tokens_left > 0) {
    return true;
  }
  Finish(it);
  return false;
}

void EngineServer::Finish(Run* it) {
  ++facts_.completions;
  if (it->stream) {
    it->responder->EndStream();
    return;
  }
  HttpResponse response =
      JsonResponse(200, {{"upstream", options_.id},
                         {"workspace", it->request.headers.Get("Tenant")},
                         {"model", it->request.headers.Get("Model")}});
  response.headers.Add(
      "Request-Id", faults_.wrong_id
                        ? "another"
                        : std::string(it->request.headers.Get("Request-Id")));
  response.headers.Add("Answer-Stamp", options_.id);
  response.headers.Add("Load",
                       fmt::format("{},{},{}", running_.size(), waiting_.size(),
                                   options_.batch_slots));
  it->responder->Send(std::move(response));
}

// Work for a caller that is gone is dropped.
void EngineServer::OnClosed(uint64_t connection) {
  loop_->Post([this, connection] {
    auto of_connection = [&](const Run& it) {
      return it.request.connection_id == connection;
    };
    facts_.cancelled += static_cast<int64_t>(running_.remove_if(of_connection));
    facts_.cancelled += static_cast<int64_t>(waiting_.remove_if(of_connection));
  });
}

void EngineServer::Heartbeat() {
  uint16_t port =
      options_.public_port != 0 ? options_.public_port : options_.port;
  json::object entry{{"service", options_.service},
                     {"addr", fmt::format("127.0.0.1:{}", port)},
                     {"zone", options_.zone},
                     {"version", "1"},
                     {"capacity", options_.batch_slots},
                     {"state", draining_ ? "draining" : "ready"},
                     {"coldLeftMs", 0},
                     {"seq", orders_},
                     {"models", ModelsJson()},
                     {"born", started_ms_}};
  Write("/lab/write", {{"key", "servers/" + options_.id},
                       {"value", ToBase64(json::serialize(entry))},
                       {"ttl_ms", kBeatsUntilGone * options_.beat_ms}});
  beat_.Start(Millis(options_.beat_ms), [this] { Heartbeat(); });
}

void EngineServer::Write(const char* target, const json::object& body) {
  HttpCall call;
  call.method = "POST";
  call.address = options_.store;
  call.target = target;
  call.body = json::serialize(body);
  call.on_done = [](const CallOutcome&) {};  // The next heartbeat repeats it.
  client_.Start(std::move(call));
}

}  // namespace bilberrypitch::lab
