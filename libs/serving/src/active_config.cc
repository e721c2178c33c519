// Builds the indexes of a configuration and looks up routes, API keys and
// services in them.
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
  for (const Route& route : config_.routes) {
    routes_by_host_[LowerCase(route.host)][route.path_prefix] = &route;
    AddEventGapTarget(route);
  }
  for (const Workspace& workspace : config_.workspaces) {
    for (const std::string& key : workspace.api_keys) {
      workspaces_by_key_[key] = &workspace;
    }
  }
  for (const Service& service : config_.services) {
    services_[service.id.str()] = &service;
  }
}

const Route* ActiveConfig::FindRoute(std::string_view host,
                                     std::string_view path) const {
  auto routes = routes_by_host_.find(LowerCase(host.substr(0, host.find(':'))));
  if (routes == routes_by_host_.end()) {
    return nullptr;
  }
  // Tries ever shorter prefixes of the path, each up to a slash.
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

const Workspace* ActiveConfig::FindWorkspace(const std::string& api_key) const {
  auto it = workspaces_by_key_.find(api_key);
  return it == workspaces_by_key_.end() ? nullptr : it->second;
}

void ActiveConfig::AddEventGapTarget(const Route& route) {
  if (route.event_gap_target == Millis(0)) {
    return;
  }
  for (const WeightedService& share : route.services) {
    Millis& max_gap =
        max_event_gaps_.try_emplace(share.service, route.event_gap_target)
            .first->second;
    max_gap = std::min(max_gap, route.event_gap_target);
  }
}

Millis ActiveConfig::MaxEventGapOf(const ServiceId& id) const {
  auto it = max_event_gaps_.find(id);
  return it == max_event_gaps_.end() ? Millis(0) : it->second;
}

const Service* ActiveConfig::FindService(const ServiceId& id) const {
  auto it = services_.find(id.str());
  return it == services_.end() ? nullptr : it->second;
}

bool ActiveConfig::CanHoldPrompt(const ServiceId& id, int64_t tokens) const {
  const Service* service = FindService(id);
  bool is_stated = service != nullptr && service->engine &&
                   service->engine->kv_cache_tokens > 0;
  return !is_stated || tokens <= service->engine->kv_cache_tokens;
}

Millis ActiveConfig::MaxStreamTimeout() const {
  Millis longest;
  for (const Route& route : config_.routes) {
    if (route.resumable) {
      longest = std::max(longest, route.timeout);
    }
  }
  return longest;
}

const ServiceId& PickService(const Route& route, uint64_t hash) {
  BP_CHECK(!route.services.empty(), "a route must have at least one service");
  uint64_t total_weight = 0;
  for (const WeightedService& share : route.services) {
    total_weight += share.weight;
  }
  uint64_t offset = total_weight == 0 ? 0 : hash % total_weight;
  for (const WeightedService& share : route.services) {
    if (offset < share.weight) {
      return share.service;
    }
    offset -= share.weight;
  }
  return route.services.front().service;
}

}  // namespace bilberrypitch
