// Lookup of routes, keys and services.
#include "serving/active_config.h"

#include <algorithm>

#include "base/check.h"

namespace bilberrypitch {
namespace {

std::string LowerCase(std::string_view text) {
  std::string lower(text);
  std::transform(lower.begin(), lower.end(), lower.begin(), [](char c) {
    return static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
  });
  return lower;
}

}  // namespace

std::string ToString(const ModelRef& ref) {
  return ref.is_adapter() ? ref.model.str() + "/" + ref.adapter.str()
                          : ref.model.str();
}

ActiveConfig::ActiveConfig(ServingConfig config) : config_(std::move(config)) {
  for (const Route& it : config_.routes) {
    routes_by_host_[LowerCase(it.host)][it.path_prefix] = &it;
    NotePause(it);
  }
  for (const Workspace& it : config_.workspaces) {
    for (const std::string& key : it.api_keys) {
      workspaces_by_key_[key] = &it;
    }
  }
  for (const Service& it : config_.services) {
    services_[it.id.str()] = &it;
  }
}

const Route* ActiveConfig::FindRoute(std::string_view host,
                                     std::string_view path) const {
  auto routes = routes_by_host_.find(LowerCase(host.substr(0, host.find(':'))));
  if (routes == routes_by_host_.end()) {
    return nullptr;
  }
  size_t end = path.rfind('/');
  while (end != std::string_view::npos) {
    auto it = routes->second.find(std::string(path.substr(0, end + 1)));
    if (it != routes->second.end()) {
      return it->second;
    }
    end = end == 0 ? std::string_view::npos : path.rfind('/', end - 1);
  }
  return nullptr;
}

const Workspace* ActiveConfig::FindWorkspace(const std::string& key) const {
  auto it = workspaces_by_key_.find(key);
  return it == workspaces_by_key_.end() ? nullptr : it->second;
}

void ActiveConfig::NotePause(const Route& route) {
  if (route.event_gap_target == Millis(0)) {
    return;
  }
  for (const WeightedService& share : route.services) {
    Millis& pause =
        longest_pauses_.try_emplace(share.service, route.event_gap_target)
            .first->second;
    pause = std::min(pause, route.event_gap_target);
  }
}

Millis ActiveConfig::MaxEventGapOf(const ServiceId& id) const {
  auto it = longest_pauses_.find(id);
  return it == longest_pauses_.end() ? Millis(0) : it->second;
}

const Service* ActiveConfig::FindService(const ServiceId& id) const {
  auto it = services_.find(id.str());
  return it == services_.end() ? nullptr : it->second;
}

const ServiceId& PickService(const Route& route, uint64_t draw) {
  BP_CHECK(!route.services.empty(), "a route names a service");
  uint64_t total = 0;
  for (const WeightedService& it : route.services) {
    total += it.weight;
  }
  uint64_t at = total == 0 ? 0 : draw % total;
  for (const WeightedService& it : route.services) {
    if (at < it.weight) {
      return it.service;
    }
    at -= it.weight;
  }
  return route.services.front().service;
}

}  // namespace bilberrypitch
