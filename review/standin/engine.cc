// Orders and reports of a model engine.
#include "engine.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <cstdlib>

namespace review {
namespace {

constexpr size_t kMaxInTransit = 4;
constexpr int kPrefillMs = 60;
constexpr int kEvents = 11;
constexpr int kEventMs = 21;

std::string Chunk(const std::string& text) {
  std::array<char, 16> size{};
  std::snprintf(size.data(), size.size(), "%zx", text.size());
  return std::string(size.data()) + "\r\n" + text + "\r\n";
}

}  // namespace

std::string JsonField(const std::string& json, const std::string& name) {
  size_t at = json.find("\"" + name + "\":");
  if (at == std::string::npos) {
    return "";
  }
  at += name.size() + 3;
  if (json[at] == '"') {
    return json.substr(at + 1, json.find('"', at + 1) - at - 1);
  }
  return json.substr(at, json.find_first_of(",}", at) - at);
}

int64_t AdapterStore::StartLoad() {
  std::lock_guard lock(mutex_);
  int64_t now = NowMs();
  std::erase_if(ends_ms_, [now](int64_t end) { return end <= now; });
  auto in_transit = static_cast<int64_t>(ends_ms_.size()) + 1;
  int64_t end = now + kLoadMs * std::max(kAtOnce, in_transit) / kAtOnce;
  ends_ms_.push_back(end);
  return end;
}

EngineContents::Result EngineContents::Order(const std::string& body) {
  std::lock_guard lock(mutex_);
  std::string fence = JsonField(body, "fence");
  if (fence.empty() || JsonField(body, "holder").empty()) {
    return {400};
  }
  if (std::atoll(fence.c_str()) < fence_) {
    return {412};
  }
  std::string expected = JsonField(body, "expected");
  bool in_progress = false;
  for (const auto& [name, adapter] : adapters_) {
    in_progress = in_progress || adapter.unloading;
  }
  if (in_progress ||
      (!expected.empty() && std::atoll(expected.c_str()) != seq_)) {
    return {409};
  }
  fence_ = std::atoll(fence.c_str());
  std::string adapter = JsonField(body, "adapter");
  if (JsonField(body, "model") != options_.model || adapter.empty()) {
    return {200};
  }
  int64_t version = std::atoll(JsonField(body, "version").c_str());
  return JsonField(body, "op") == "load" ? Load(adapter, version)
                                         : Unload(adapter);
}

EngineContents::Result EngineContents::Load(const std::string& adapter,
                                            int64_t version) {
  auto it = adapters_.find(adapter);
  if (it != adapters_.end() && it->second.version >= version) {
    return {200};
  }
  size_t in_transit = 0;
  for (const auto& [name, held] : adapters_) {
    in_transit += held.ready_at_ms > NowMs() ? 1 : 0;
  }
  if (in_transit >= kMaxInTransit) {
    return {409};
  }
  if (it == adapters_.end() && adapters_.size() >= options_.adapter_slots) {
    exceeded_ = true;
    return {409};
  }
  Adapter& held = adapters_[adapter];
  held.version = std::max<int64_t>(1, version);
  held.ready_at_ms = store_->StartLoad();
  ++seq_;
  return {202};
}

EngineContents::Result EngineContents::Unload(const std::string& adapter) {
  auto it = adapters_.find(adapter);
  if (it == adapters_.end()) {
    return {200};
  }
  ++seq_;
  if (it->second.running > 0) {
    it->second.unloading = true;
    return {202};
  }
  adapters_.erase(it);
  return {200};
}

bool EngineContents::StartRun(const std::string& adapter) {
  std::lock_guard lock(mutex_);
  auto it = adapters_.find(adapter);
  if (it == adapters_.end() || it->second.unloading ||
      it->second.ready_at_ms > NowMs()) {
    return false;
  }
  ++it->second.running;
  return true;
}

void EngineContents::EndRun(const std::string& adapter) {
  std::lock_guard lock(mutex_);
  auto it = adapters_.find(adapter);
  if (it != adapters_.end() && --it->second.running == 0 &&
      it->second.unloading) {
    adapters_.erase(it);
  }
}

std::string EngineContents::ModelsAt(int64_t now_ms) const {
  std::string names;
  for (const auto& [name, adapter] : adapters_) {
    if (adapter.ready_at_ms <= now_ms) {
      names += (names.empty() ? "\"" : ",\"") + name + "@" +
               std::to_string(adapter.version) + "\"";
    }
  }
  return R"([{"name":")" + options_.model + R"(","version":1,"adapters":[)" +
         names + "]}]";
}

std::string EngineContents::Models() {
  std::lock_guard lock(mutex_);
  return ModelsAt(NowMs());
}

std::string EngineContents::Report(int64_t born_ms) {
  std::lock_guard lock(mutex_);
  // One time for both lists, so that each adapter is in one of them.
  int64_t now_ms = NowMs();
  std::string pending;
  int running = 0;
  for (const auto& [name, adapter] : adapters_) {
    running += adapter.running;
    if (adapter.ready_at_ms > now_ms) {
      pending += (pending.empty() ? "\"" : ",\"") + options_.model + "/" +
                 name + "@" + std::to_string(adapter.version) + "\"";
    }
  }
  return R"({"phase":"mixed","models":)" + ModelsAt(now_ms) +
         R"(,"busy":false,"seq":)" + std::to_string(seq_) +
         R"(,"queued":0,"active":)" + std::to_string(running) +
         R"(,"kvUsed":0,"kvTotal":90000,"served":0,"pending":[)" + pending +
         R"(],"born":)" + std::to_string(born_ms) + "}";
}

bool EngineContents::exceeded() {
  std::lock_guard lock(mutex_);
  return exceeded_;
}

std::string AdapterOf(const Message& request) {
  std::string model = request.Header("model");
  size_t slash = model.find('/');
  return slash == std::string::npos ? "" : model.substr(slash + 1);
}

bool AnswerEngineCall(Upstream* engine, EngineContents* contents,
                      UpstreamConnection* connection, const Message& request,
                      Record* record) {
  const std::string& name = engine->options().id;
  std::string id = request.Header("request-id");
  if (request.path() == "/report") {
    connection->socket.Send(
        Upstream::Answer(200, id, "", contents->Report(engine->born_ms())));
    return true;
  }
  if (request.path() == "/order") {
    EngineContents::Result result = contents->Order(request.body);
    record->Line(name + " answers " + std::to_string(result.status) +
                 " to the order " + request.body);
    connection->socket.Send(
        Upstream::Answer(result.status, id, "", result.body));
    return true;
  }
  return false;
}

bool SendStream(const Upstream& engine, const UpstreamConnection& connection,
                const std::string& request_id) {
  SleepMs(kPrefillMs);
  bool ok = connection.socket.Send(
      "HTTP/1.1 200 OK\r\nRequest-Id: " + request_id +
      "\r\nAnswer-Stamp: " + engine.options().id + "." + request_id +
      "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: "
      "chunked\r\n\r\n");
  for (int event = 1; ok && event <= kEvents; ++event) {
    ok = connection.socket.Send(Chunk("id: " + std::to_string(event) +
                                      "\ndata: " + request_id + "\n\n"));
    SleepMs(kEventMs);
  }
  return ok && connection.socket.Send("0\r\n\r\n");
}

ConfigText EngineConfig() {
  ConfigText config;
  config.services =
      R"({"name":"llm","engine":{"capacity":64,"kvTokens":126653,)"
      R"("weightsMb":44000,"adapterSlots":6,"loadsPerS":2.1,"models":)"
      R"([{"name":"base","weightsMb":42700,"loadS":3.3,"adapters":3000,)"
      R"("adapterMb":66}]}})";
  config.routes =
      R"({"name":"advice","host":"club.example","prefix":"/advice/",)"
      R"("kind":"stream","attempts":1,"timeoutMs":5000,"goalMs":1000,)"
      R"("gapAimMs":400,"service":"llm"})";
  config.tenants = R"({"name":"t1","apiKeys":["key-1"]})";
  return config;
}

std::string StreamRequest(const std::string& request_id,
                          const std::string& adapter) {
  std::string request =
      "POST /advice/x HTTP/1.1\r\nHost: club.example\r\nTokens: 1800,22\r\n"
      "Deadline-Ms: 5000\r\nAuthorization: Token key-1\r\n"
      "Content-Length: 6\r\nRequest-Id: ";
  request += request_id;
  request += "\r\nModel: base/";
  request += adapter;
  request += "\r\n\r\nprompt";
  return request;
}

}  // namespace review
