// Orders and reports of a model engine.
#include "engine.h"

#include <algorithm>
#include <cstdlib>

namespace review {
namespace {

constexpr size_t kMaxInTransit = 4;

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

std::string EngineContents::ModelsLocked() const {
  std::string names;
  for (const auto& [name, adapter] : adapters_) {
    if (adapter.ready_at_ms <= NowMs()) {
      names += (names.empty() ? "\"" : ",\"") + name + "@" +
               std::to_string(adapter.version) + "\"";
    }
  }
  return R"([{"name":")" + options_.model + R"(","version":1,"adapters":[)" +
         names + "]}]";
}

std::string EngineContents::Models() {
  std::lock_guard lock(mutex_);
  return ModelsLocked();
}

std::string EngineContents::Report(int64_t born_ms) {
  std::lock_guard lock(mutex_);
  std::string pending;
  int running = 0;
  for (const auto& [name, adapter] : adapters_) {
    running += adapter.running;
    if (adapter.ready_at_ms > NowMs()) {
      pending += (pending.empty() ? "\"" : ",\"") + options_.model + "/" +
                 name + "@" + std::to_string(adapter.version) + "\"";
    }
  }
  return R"({"phase":"mixed","models":)" + ModelsLocked() +
         R"(,"busy":false,"seq":)" + std::to_string(seq_) +
         R"(,"queued":0,"active":)" + std::to_string(running) +
         R"(,"kvUsed":0,"kvTotal":90000,"served":0,"pending":[)" + pending +
         R"(],"born":)" + std::to_string(born_ms) + "}";
}

bool EngineContents::exceeded() {
  std::lock_guard lock(mutex_);
  return exceeded_;
}

}  // namespace review
