// A configuration with the indexes that requests need.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

#include "serving/config.h"

namespace bilberrypitch {

// Immutable; shared by the requests that began under it.
class ActiveConfig {
 public:
  explicit ActiveConfig(ServingConfig config);
  ActiveConfig(const ActiveConfig&) = delete;
  ActiveConfig& operator=(const ActiveConfig&) = delete;

  // The route of that host with the longest prefix of `path`; null: none.
  // `host` may carry a port.
  const Route* FindRoute(std::string_view host, std::string_view path) const;
  // Null: no workspace holds the key.
  const Workspace* FindWorkspace(const std::string& key) const;
  const Service* FindService(const ServiceId& id) const;

  // The shortest of the longest pauses that the routes to this service state;
  // zero: none does.
  Millis MaxEventGapOf(const ServiceId& id) const;

  const ServingConfig& config() const { return config_; }
  int64_t version() const { return config_.version; }

 private:
  void NotePause(const Route& route);

  using RoutesByPrefix = std::unordered_map<std::string, const Route*>;

  const ServingConfig config_;
  // All point into `config_`.
  std::unordered_map<std::string, RoutesByPrefix> routes_by_host_;
  std::unordered_map<std::string, const Workspace*> workspaces_by_key_;
  std::unordered_map<std::string, const Service*> services_;
  std::map<ServiceId, Millis> longest_pauses_;
};

// The service of a route's split for one request; the same `draw` (from the
// request's id) gives the same service.
const ServiceId& PickService(const Route& route, uint64_t draw);

}  // namespace bilberrypitch
