// Implements the fake of an upstream.
#include "fake_upstream.h"

#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <cstdlib>

#include "base/base64.h"

namespace bilberrypitch::lab {
namespace {

// The delay that the platform requires between orders of two holders.
constexpr Millis kTakeoverDelay{3000};
constexpr size_t kMaxConcurrentLoads = 4;
constexpr int kSlotsExceededExitCode = 3;
constexpr int kCrashExitCode = 1;
constexpr int64_t kMissedHeartbeatsUntilExpiry = 3;

int64_t UnixTimeMs() {
  auto now = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

int64_t NumberOr(std::string_view text, int64_t fallback) {
  return text.empty() ? fallback : std::atoll(std::string(text).c_str());
}

HttpResponse RejectionResponse(int status, const HttpRequest& request) {
  HttpResponse response = JsonResponse(status, json::object());
  response.headers.Add("Not-Run", "1");
  response.headers.Add("Request-Id",
                       std::string(request.headers.Get("Request-Id")));
  return response;
}

bool IsStreamPath(const std::string& path) {
  return path.starts_with("/stream/") || path.starts_with("/resume/");
}

}  // namespace

FakeUpstream::FakeUpstream(EventLoop* loop, FakeUpstreamOptions options)
    : loop_(loop),
      options_(std::move(options)),
      started_ms_(UnixTimeMs()),
      client_(loop),
      step_timer_(loop),
      heartbeat_timer_(loop),
      drain_timer_(loop) {
  HttpServerOptions server = LabServerOptions(options_.port);
  server.loop = loop;
  server.on_connection_closed = [this](uint64_t connection) {
    OnConnectionClosed(connection);
  };
  server_ = std::make_unique<HttpServer>(
      server,
      [this](HttpRequest request, std::shared_ptr<Responder> responder) {
        Handle(std::move(request), std::move(responder));
      });
  Heartbeat();
  RunStep();
}

FakeUpstream::~FakeUpstream() { server_->Stop(); }

void FakeUpstream::Drain(std::function<void()> done) {
  draining_ = true;
  Heartbeat();
  drain_timer_.Start(Millis(options_.drain_ms), [this, done = std::move(done)] {
    PostToStore("/lab/remove", {{"key", "servers/" + options_.id}});
    drain_timer_.Start(Millis(options_.step_ms * 10), done);
  });
}

void FakeUpstream::Handle(HttpRequest request,
                          std::shared_ptr<Responder> responder) {
  if (request.path == "/lab/faults") {
    SetFaults(ParseJsonObject(request.body));
    responder->Send(JsonResponse(200, json::object()));
    return;
  }
  if (request.path == "/lab/facts") {
    responder->Send(JsonResponse(200, CountersJson()));
    return;
  }
  if (!request.headers.Get("Authorization").empty()) {
    ++counters_.credentials_seen;
  }
  std::string_view expected_instance = request.headers.Get("Expect-Instance");
  if (!expected_instance.empty() && expected_instance != options_.id) {
    ++counters_.misdirected;
    responder->Send(RejectionResponse(421, request));
  } else if (request.path == "/report") {
    responder->Send(JsonResponse(200, ReportJson()));
  } else if (request.path == "/order") {
    HttpResponse response = HandleOrder(ParseJsonObject(request.body));
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
    EnqueueRequest(std::move(request), std::move(responder));
  }
}

void FakeUpstream::EnqueueRequest(HttpRequest request,
                                  std::shared_ptr<Responder> responder) {
  std::string model(request.headers.Get("Model"));
  size_t slash = model.find('/');
  RequestState state;
  state.adapter = slash == std::string::npos ? "" : model.substr(slash + 1);
  auto adapter_entry = adapters_.find(state.adapter);
  bool present = model.substr(0, slash) == options_.model;
  if (present && !state.adapter.empty()) {
    int64_t needed = NumberOr(request.headers.Get("Expect-Version"), 0);
    present = adapter_entry != adapters_.end() &&
              adapter_entry->second.ready_at <= EventLoop::Now() &&
              adapter_entry->second.version >= needed;
  }
  if (!present) {
    responder->Send(RejectionResponse(421, request));
    return;
  }
  bool unload_pending =
      adapter_entry != adapters_.end() && adapter_entry->second.unload_pending;
  if (faults_.refuse || unload_pending ||
      waiting_.size() >= options_.queue_length) {
    responder->Send(RejectionResponse(503, request));
    return;
  }
  std::string_view tokens = request.headers.Get("Tokens");
  size_t comma = tokens.find(',');
  state.tokens_left =
      comma == std::string_view::npos
          ? 1
          : std::max<int64_t>(1, NumberOr(tokens.substr(comma + 1), 1));
  // A stream resumed after event N has its first N events already.
  state.tokens_made = NumberOr(request.headers.Get("Last-Event-Id"), 0);
  state.tokens_left =
      std::max<int64_t>(1, state.tokens_left - state.tokens_made);
  state.is_stream = IsStreamPath(request.path);
  state.request = std::move(request);
  state.responder = std::move(responder);
  waiting_.push_back(std::move(state));
}

HttpResponse FakeUpstream::HandleOrder(const json::object& order) {
  int64_t fence = IntOr(order, "fence", -1);
  if (fence < 0 || StringOr(order, "holder", "").empty()) {
    return JsonResponse(400, json::object());
  }
  if (fence < highest_fence_) {
    ++counters_.orders_refused;
    return JsonResponse(412, json::object());
  }
  if (IntOr(order, "expected", order_count_) != order_count_) {
    ++counters_.orders_refused;
    return JsonResponse(409, json::object());
  }
  highest_fence_ = fence;
  std::string op = StringOr(order, "op", "");
  if (op != "load" && op != "unload") {
    return JsonResponse(400, json::object());
  }
  return op == "load" ? LoadAdapter(order) : UnloadAdapter(order);
}

void FakeUpstream::RecordOrder(const json::object& order) {
  ++order_count_;
  std::string holder = StringOr(order, "holder", "");
  Millis now = EventLoop::Now();
  if (!last_holder_.empty() && holder != last_holder_ &&
      now - last_order_at_ < kTakeoverDelay) {
    ++counters_.hasty_holders;
  }
  last_holder_ = holder;
  last_order_at_ = now;
}

HttpResponse FakeUpstream::LoadAdapter(const json::object& order) {
  std::string adapter = StringOr(order, "adapter", "");
  if (StringOr(order, "model", "") != options_.model || adapter.empty()) {
    return JsonResponse(200, json::object());
  }
  int64_t version = std::max<int64_t>(1, IntOr(order, "version", 1));
  Millis now = EventLoop::Now();
  auto loaded = adapters_.find(adapter);
  if (loaded != adapters_.end() && loaded->second.version >= version) {
    return JsonResponse(200, json::object());
  }
  auto loading_count = std::count_if(
      adapters_.begin(), adapters_.end(), [&](const auto& adapter_entry) {
        return adapter_entry.second.ready_at > now;
      });
  if (static_cast<size_t>(loading_count) >= kMaxConcurrentLoads) {
    return JsonResponse(409, json::object());
  }
  if (loaded == adapters_.end() && adapters_.size() >= options_.adapter_slots) {
    fmt::print(stderr, "engine: {} was ordered to exceed its adapter slots.\n",
               options_.id);
    std::_Exit(kSlotsExceededExitCode);
  }
  RecordOrder(order);
  ++counters_.loads;
  adapters_[adapter] = {version, now + Millis(options_.load_ms), false};
  return JsonResponse(202, json::object());
}

HttpResponse FakeUpstream::UnloadAdapter(const json::object& order) {
  std::string adapter = StringOr(order, "adapter", "");
  auto adapter_entry = adapters_.find(adapter);
  if (adapter_entry == adapters_.end()) {
    return JsonResponse(200, json::object());
  }
  RecordOrder(order);
  ++counters_.unloads;
  if (IsAdapterInUse(adapter)) {
    ++counters_.unloads_in_use;
    adapter_entry->second.unload_pending = true;
    return JsonResponse(202, json::object());
  }
  adapters_.erase(adapter_entry);
  return JsonResponse(200, json::object());
}

bool FakeUpstream::IsAdapterInUse(const std::string& adapter) const {
  auto uses = [&](const RequestState& state) {
    return state.adapter == adapter;
  };
  return std::any_of(running_.begin(), running_.end(), uses) ||
         std::any_of(waiting_.begin(), waiting_.end(), uses);
}

json::array FakeUpstream::ModelsJson() const {
  if (options_.model.empty()) {
    return {};
  }
  json::array adapters;
  for (const auto& [name, adapter] : adapters_) {
    if (adapter.ready_at <= EventLoop::Now()) {
      adapters.push_back(
          json::value(fmt::format("{}@{}", name, adapter.version)));
    }
  }
  return {json::object{{"name", options_.model},
                       {"version", 1},
                       {"adapters", std::move(adapters)}}};
}

json::object FakeUpstream::ReportJson() const {
  json::array pending;
  for (const auto& [name, adapter] : adapters_) {
    if (adapter.ready_at > EventLoop::Now()) {
      pending.push_back(json::value(
          fmt::format("{}/{}@{}", options_.model, name, adapter.version)));
    }
  }
  return {{"phase", "mixed"},
          {"models", ModelsJson()},
          {"busy", false},
          {"seq", order_count_},
          {"queued", waiting_.size()},
          {"active", running_.size()},
          {"pending", pending},
          {"born", started_ms_}};
}

json::object FakeUpstream::CountersJson() const {
  json::object runs;
  for (const auto& [body, count] : run_counts_) {
    runs[body] = count;
  }
  return {{"completions", counters_.completions},
          {"cancelled", counters_.cancelled},
          {"misdirected", counters_.misdirected},
          {"loads", counters_.loads},
          {"unloads", counters_.unloads},
          {"unloads_in_use", counters_.unloads_in_use},
          {"credentials_seen", counters_.credentials_seen},
          {"orders_refused", counters_.orders_refused},
          {"hasty_holders", counters_.hasty_holders},
          {"runs_twice", counters_.runs_twice},
          {"running", running_.size()},
          {"waiting", waiting_.size()},
          {"runs", std::move(runs)}};
}

void FakeUpstream::SetFaults(const json::object& object) {
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

void FakeUpstream::RunStep() {
  step_timer_.Start(Millis(options_.step_ms), [this] { RunStep(); });
  while (!waiting_.empty() && running_.size() < options_.batch_slots) {
    running_.splice(running_.end(), waiting_, waiting_.begin());
  }
  for (auto state = running_.begin(); state != running_.end();) {
    state = AdvanceRequest(&*state) ? std::next(state) : running_.erase(state);
  }
  std::erase_if(adapters_, [this](const auto& it) {
    return it.second.unload_pending && !IsAdapterInUse(it.first);
  });
}

// Returns false when the request has ended.
bool FakeUpstream::AdvanceRequest(RequestState* state) {
  if (!state->started) {
    state->started = true;
    ++run_counts_[state->request.body];
    std::string id(state->request.headers.Get("Request-Id"));
    if (!IsStreamPath(state->request.path) && !started_ids_.insert(id).second) {
      ++counters_.runs_twice;
    }
    if (!faults_.crash_on.empty() &&
        state->request.body.find(faults_.crash_on) != std::string::npos) {
      fmt::print(stderr, "engine: {} crashes.\n", options_.id);
      std::_Exit(kCrashExitCode);
    }
    if (state->is_stream) {
      HttpHeaders headers;
      headers.Add("Content-Type", "text/event-stream");
      headers.Add("Request-Id", faults_.wrong_id ? "another" : id);
      headers.Add("Answer-Stamp", options_.id);
      state->responder->StartStream(200, headers);
    }
  }
  --state->tokens_left;
  ++state->tokens_made;
  if (state->is_stream) {
    state->responder->Write(
        fmt::format("id: {0}\ndata: t{0}\n\n", state->tokens_made));
    if (faults_.truncate && state->tokens_made >= 2) {
      state->responder->AbortStream();
      return false;
    }
  }
  if (state->tokens_left > 0) {
    return true;
  }
  FinishRequest(state);
  return false;
}

void FakeUpstream::FinishRequest(RequestState* state) {
  ++counters_.completions;
  if (state->is_stream) {
    state->responder->EndStream();
    return;
  }
  HttpResponse response =
      JsonResponse(200, {{"upstream", options_.id},
                         {"workspace", state->request.headers.Get("Tenant")},
                         {"model", state->request.headers.Get("Model")}});
  response.headers.Add(
      "Request-Id",
      faults_.wrong_id ? "another"
                       : std::string(state->request.headers.Get("Request-Id")));
  response.headers.Add("Answer-Stamp", options_.id);
  response.headers.Add("Load",
                       fmt::format("{},{},{}", running_.size(), waiting_.size(),
                                   options_.batch_slots));
  state->responder->Send(std::move(response));
}

// Cancels the requests of a caller that has disconnected.
void FakeUpstream::OnConnectionClosed(uint64_t connection) {
  loop_->Post([this, connection] {
    auto belongs_to_connection = [&](const RequestState& state) {
      return state.request.connection_id == connection;
    };
    counters_.cancelled +=
        static_cast<int64_t>(running_.remove_if(belongs_to_connection));
    counters_.cancelled +=
        static_cast<int64_t>(waiting_.remove_if(belongs_to_connection));
  });
}

void FakeUpstream::Heartbeat() {
  uint16_t port =
      options_.public_port != 0 ? options_.public_port : options_.port;
  json::object entry{{"service", options_.service},
                     {"addr", fmt::format("127.0.0.1:{}", port)},
                     {"zone", options_.zone},
                     {"version", "1"},
                     {"capacity", options_.batch_slots},
                     {"state", draining_ ? "draining" : "ready"},
                     {"coldLeftMs", 0},
                     {"seq", order_count_},
                     {"models", ModelsJson()},
                     {"born", started_ms_}};
  PostToStore("/lab/write", {{"key", "servers/" + options_.id},
                             {"value", ToBase64(json::serialize(entry))},
                             {"ttl_ms", kMissedHeartbeatsUntilExpiry *
                                            options_.heartbeat_ms}});
  heartbeat_timer_.Start(Millis(options_.heartbeat_ms),
                         [this] { Heartbeat(); });
}

void FakeUpstream::PostToStore(const char* target, const json::object& body) {
  HttpCall call;
  call.method = "POST";
  call.address = options_.store;
  call.target = target;
  call.body = json::serialize(body);
  call.on_done = [](const CallOutcome&) {};  // The next heartbeat retries.
  client_.Start(std::move(call));
}

}  // namespace bilberrypitch::lab
