// The model engine's stand-in.
#include "engine.h"

#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <set>

namespace bilberrypitch::lab {
namespace {

constexpr int64_t kDefaultTokens = 16;
constexpr int kPermittedLoads = 8;

int64_t NowMs() {
  auto now = std::chrono::steady_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

json::value ErrorJson(std::string_view message, std::string_view type) {
  return {{"error", {{"message", message}, {"type", type}}}};
}

}  // namespace

Engine::Engine(EngineOptions options) : options_(std::move(options)) {
  thread_ = std::thread([this] { Loop(); });
  server_ = std::make_unique<HttpServer>(
      LabServerOptions(options_.port),
      [this](HttpRequest request, std::shared_ptr<Responder> responder) {
        Handle(std::move(request), std::move(responder));
      });
}

Engine::~Engine() {
  server_->Stop();
  {
    std::lock_guard lock(lock_);
    stopping_ = true;
  }
  thread_.join();
}

void Engine::Handle(HttpRequest request, std::shared_ptr<Responder> responder) {
  if (!request.headers.Get("Authorization").empty() ||
      request.body.find("bp_") != std::string::npos) {
    std::lock_guard lock(lock_);
    ++facts_.credentials_seen;
  }
  if (request.path == "/v1/chat/completions") {
    StartCompletion(request, true, std::move(responder));
  } else if (request.path == "/v1/completions") {
    StartCompletion(request, false, std::move(responder));
  } else if (request.path == "/v1/load_lora_adapter") {
    StartLoad(request, std::move(responder));
  } else if (request.path == "/v1/unload_lora_adapter") {
    Unload(request, std::move(responder));
  } else if (request.path == "/v1/models") {
    responder->Send(JsonResponse(200, ModelsJson()));
  } else if (request.path == "/metrics") {
    HttpResponse response;
    response.headers.Add("Content-Type", "text/plain");
    response.body = MetricsText();
    responder->Send(std::move(response));
  } else if (request.path == "/lab/faults") {
    SetFaults(ParseObject(request.body));
    responder->Send(JsonResponse(200, json::object()));
  } else if (request.path == "/lab/facts") {
    responder->Send(JsonResponse(200, FactsJson()));
  } else {
    responder->Send(JsonResponse(404, ErrorJson("No such path.", "NotFound")));
  }
}

void Engine::StartCompletion(const HttpRequest& request, bool chat,
                             std::shared_ptr<Responder> responder) {
  json::object body = ParseObject(request.body);
  Sequence it;
  it.model = StringOr(body, "model", "");
  it.request_id = std::string(request.headers.Get("X-Request-Id"));
  it.tokens_left = IntOr(body, "max_tokens", kDefaultTokens);
  it.stream = BoolOr(body, "stream", false);
  it.priority = static_cast<int>(IntOr(body, "priority", 0));
  it.caller_gone = std::make_shared<std::atomic<bool>>(false);
  (void)chat;
  std::lock_guard lock(lock_);
  if (!faults_.crash_on_text.empty() &&
      request.body.find(faults_.crash_on_text) != std::string::npos) {
    fmt::print(stderr, "engine: {} crashes on a poison request.\n",
               options_.name);
    std::_Exit(1);
  }
  if (adapters_.count(it.model) == 0) {
    ++facts_.refused_not_loaded;
    responder->Send(JsonResponse(
        404, ErrorJson("The model does not exist.", "NotFoundError")));
    return;
  }
  it.responder = std::move(responder);
  auto place = std::find_if(
      waiting_.begin(), waiting_.end(),
      [&](const Sequence& other) { return other.priority > it.priority; });
  waiting_.insert(place, std::move(it));
}

bool Engine::RefuseStaleOrder(const HttpRequest& request,
                              Responder& responder) {
  std::string text(request.headers.Get("X-Fencing-Token"));
  uint64_t fence = text.empty() ? 0 : std::stoull(text);
  if (options_.checks_fencing && fence < highest_fence_) {
    ++facts_.stale_orders_refused;
    responder.Send(
        JsonResponse(409, ErrorJson("Old fencing number.", "StaleOrder")));
    return true;
  }
  highest_fence_ = std::max(highest_fence_, fence);
  return false;
}

void Engine::StartLoad(const HttpRequest& request,
                       std::shared_ptr<Responder> responder) {
  json::object body = ParseObject(request.body);
  std::string name = StringOr(body, "lora_name", "");
  std::lock_guard lock(lock_);
  if (RefuseStaleOrder(request, *responder)) {
    return;
  }
  if (faults_.fail_loads) {
    responder->Send(JsonResponse(500, ErrorJson("Load failed.", "LoadError")));
    return;
  }
  if (adapters_.count(name) != 0) {
    responder->Send(
        JsonResponse(400, ErrorJson("Already loaded.", "InvalidUserInput")));
    return;
  }
  if (adapters_.size() + loads_.size() >= options_.adapter_slots) {
    responder->Send(
        JsonResponse(400, ErrorJson("No free slot.", "InvalidUserInput")));
    return;
  }
  int64_t in_flight = static_cast<int64_t>(loads_.size()) + 1;
  facts_.most_loads_in_flight =
      std::max(facts_.most_loads_in_flight, in_flight);
  int64_t factor =
      std::max<int64_t>(1, (in_flight + kPermittedLoads - 1) / kPermittedLoads);
  int64_t ready =
      NowMs() + options_.load_ms * factor + faults_.extra_order_delay_ms;
  loads_.push_back({name, ready, std::move(responder)});
}

void Engine::Unload(const HttpRequest& request,
                    std::shared_ptr<Responder> responder) {
  json::object body = ParseObject(request.body);
  std::string name = StringOr(body, "lora_name", "");
  std::lock_guard lock(lock_);
  if (RefuseStaleOrder(request, *responder)) {
    return;
  }
  if (adapters_.erase(name) == 0) {
    responder->Send(JsonResponse(404, ErrorJson("Not loaded.", "NotFound")));
    return;
  }
  ++facts_.unloads;
  auto serves = [&](const Sequence& it) {
    return it.model == name && !it.caller_gone->load();
  };
  facts_.evicted_while_serving +=
      std::count_if(running_.begin(), running_.end(), serves) +
      std::count_if(waiting_.begin(), waiting_.end(), serves);
  if (faults_.lose_order_answers) {
    responder->Send(JsonResponse(504, ErrorJson("Lost.", "Timeout")));
    return;
  }
  responder->Send(JsonResponse(200, json::object()));
}

void Engine::SetFaults(const json::object& object) {
  std::lock_guard lock(lock_);
  faults_.crash_on_text = StringOr(object, "crash_on_text", "");
  faults_.fail_loads = BoolOr(object, "fail_loads", false);
  faults_.lose_order_answers = BoolOr(object, "lose_order_answers", false);
  faults_.answer_wrong_model = BoolOr(object, "answer_wrong_model", false);
  faults_.cross_request_ids = BoolOr(object, "cross_request_ids", false);
  faults_.stop_mid_stream = BoolOr(object, "stop_mid_stream", false);
  faults_.extra_order_delay_ms = IntOr(object, "extra_order_delay_ms", 0);
}

json::value Engine::FactsJson() {
  std::lock_guard lock(lock_);
  return {{"completions", facts_.completions},
          {"tokens", facts_.tokens},
          {"steps", facts_.steps},
          {"filled_slots", facts_.filled_slots},
          {"adapters_in_batches", facts_.adapters_in_batches},
          {"batch_slots", options_.batch_slots},
          {"loads", facts_.loads},
          {"unloads", facts_.unloads},
          {"evicted_while_serving", facts_.evicted_while_serving},
          {"credentials_seen", facts_.credentials_seen},
          {"refused_not_loaded", facts_.refused_not_loaded},
          {"cancelled", facts_.cancelled},
          {"stale_orders_refused", facts_.stale_orders_refused},
          {"most_loads_in_flight", facts_.most_loads_in_flight},
          {"running", running_.size()},
          {"waiting", waiting_.size()}};
}

json::value Engine::ModelsJson() {
  std::lock_guard lock(lock_);
  json::array data;
  for (const auto& [name, used] : adapters_) {
    data.push_back({{"id", name}, {"object", "model"}, {"parent", "base"}});
  }
  return {{"object", "list"}, {"data", std::move(data)}};
}

std::string Engine::MetricsText() {
  std::lock_guard lock(lock_);
  return fmt::format(
      "vllm:num_requests_running {}\nvllm:num_requests_waiting {}\n",
      running_.size(), waiting_.size());
}

void Engine::Loop() {
  while (true) {
    std::this_thread::sleep_for(std::chrono::milliseconds(options_.step_ms));
    std::lock_guard lock(lock_);
    if (stopping_) {
      return;
    }
    FinishLoads(NowMs());
    Step();
  }
}

void Engine::FinishLoads(int64_t now_ms) {
  for (auto it = loads_.begin(); it != loads_.end();) {
    if (it->ready_at_ms > now_ms) {
      ++it;
      continue;
    }
    adapters_[it->name] = now_ms;
    ++facts_.loads;
    it->responder->Send(faults_.lose_order_answers
                            ? JsonResponse(504, ErrorJson("Lost.", "Timeout"))
                            : JsonResponse(200, json::object()));
    it = loads_.erase(it);
  }
}

void Engine::Step() {
  while (!waiting_.empty() && running_.size() < options_.batch_slots) {
    running_.splice(running_.end(), waiting_, waiting_.begin());
  }
  if (running_.empty()) {
    return;
  }
  ++facts_.steps;
  facts_.filled_slots += static_cast<int64_t>(running_.size());
  std::set<std::string> models;
  for (auto it = running_.begin(); it != running_.end();) {
    models.insert(it->model);
    if (it->caller_gone->load()) {
      ++facts_.cancelled;
      it = running_.erase(it);
      continue;
    }
    EmitToken(&*it);
    if (it->tokens_left > 0) {
      ++it;
      continue;
    }
    Finish(&*it);
    it = running_.erase(it);
  }
  facts_.adapters_in_batches += static_cast<int64_t>(models.size());
}

void Engine::EmitToken(Sequence* it) {
  --it->tokens_left;
  ++it->tokens_made;
  ++facts_.tokens;
  if (!it->stream) {
    return;
  }
  if (it->tokens_made == 1) {
    HttpHeaders headers;
    headers.Add("Content-Type", "text/event-stream");
    headers.Add("X-Request-Id",
                faults_.cross_request_ids ? "another" : it->request_id);
    it->responder->StartStream(200, headers);
  }
  std::string event =
      "data: " + json::serialize(ChunkJson(*it, it->tokens_left == 0)) + "\n\n";
  it->responder->WriteChunk(std::move(event),
                            [gone = it->caller_gone](bool ok) {
                              if (!ok) gone->store(true);
                            });
  if (faults_.stop_mid_stream && it->tokens_made == 2) {
    it->tokens_left = 0;
  }
}

json::object Engine::ChunkJson(const Sequence& it, bool last) const {
  json::object choice;
  choice["index"] = 0;
  choice["delta"] = {{"content", fmt::format("t{} ", it.tokens_made)}};
  choice["finish_reason"] = last ? json::value("stop") : json::value(nullptr);
  return {{"id", "cmpl-" + it.request_id},
          {"object", "chat.completion.chunk"},
          {"model", faults_.answer_wrong_model ? "other" : it.model},
          {"choices", {std::move(choice)}}};
}

void Engine::Finish(Sequence* it) {
  ++facts_.completions;
  if (it->stream) {
    if (!faults_.stop_mid_stream) {
      it->responder->WriteChunk("data: [DONE]\n\n", {});
    }
    it->responder->EndStream();
    return;
  }
  std::string text;
  for (int64_t i = 1; i <= it->tokens_made; ++i) {
    text += fmt::format("t{} ", i);
  }
  json::object choice;
  choice["index"] = 0;
  choice["message"] = {{"role", "assistant"}, {"content", text}};
  choice["text"] = text;
  choice["finish_reason"] = "stop";
  json::object body{{"id", "cmpl-" + it->request_id},
                    {"object", "chat.completion"},
                    {"model", faults_.answer_wrong_model ? "other" : it->model},
                    {"choices", {std::move(choice)}},
                    {"usage", {{"completion_tokens", it->tokens_made}}}};
  HttpResponse response = JsonResponse(200, std::move(body));
  response.headers.Add("X-Request-Id",
                       faults_.cross_request_ids ? "another" : it->request_id);
  it->responder->Send(std::move(response));
}

}  // namespace bilberrypitch::lab
