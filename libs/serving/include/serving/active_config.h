// The configuration in force, with indexes for the lookups that each request
// makes: route by host and path, workspace by API key, service by id.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

#include "serving/config.h"

namespace bilberrypitch {

// Immutable, so it can be shared without locks. Requests share ownership of the
// configuration under which they run, also after a newer one has replaced it.
class ActiveConfig {
 public:
  explicit ActiveConfig(ServingConfig config);
  ActiveConfig(const ActiveConfig&) = delete;
  ActiveConfig& operator=(const ActiveConfig&) = delete;

  // Returns the route of `host` with the longest prefix of `path`, or null if
  // none matches. `host` may include a port, which is ignored; host names are
  // compared without regard to case.
  const Route* FindRoute(std::string_view host, std::string_view path) const;
  // Returns the workspace to which the API key belongs, or null.
  const Workspace* FindWorkspace(const std::string& api_key) const;
  // Returns null if the service is not configured.
  const Service* FindService(const ServiceId& id) const;

  // Whether an engine of the service has room for a prompt of so many tokens,
  // as far as the configuration says.
  bool CanHoldPrompt(const ServiceId& id, int64_t tokens) const;

  // Returns the smallest event gap target of the routes to this service, or
  // zero if none of them states one.
  Millis MaxEventGapOf(const ServiceId& id) const;

  // Returns the longest timeout of the routes with streams that may continue.
  Millis MaxStreamTimeout() const;

  const ServingConfig& config() const { return config_; }
  int64_t version() const { return config_.version; }

 private:
  // Applies the event gap target of `route` to each of its services.
  void AddEventGapTarget(const Route& route);

  using RoutesByPrefix = std::unordered_map<std::string, const Route*>;

  const ServingConfig config_;
  // All pointers below point into `config_`.
  std::unordered_map<std::string, RoutesByPrefix> routes_by_host_;
  std::unordered_map<std::string, const Workspace*> workspaces_by_key_;
  std::unordered_map<std::string, const Service*> services_;
  std::map<ServiceId, Millis> max_event_gaps_;
};

// Returns a part of the configuration that keeps the whole of it, or null if
// `part` is. Needed where the part is used after a call that may let go of the
// configuration.
template <typename Part>
std::shared_ptr<const Part> SharePart(
    const std::shared_ptr<const ActiveConfig>& config, const Part* part) {
  return part != nullptr ? std::shared_ptr<const Part>(config, part) : nullptr;
}

// Picks one of the route's services in proportion to their weights. `hash` is
// the hash of the request's id: the same value always gives the same service.
const ServiceId& PickService(const Route& route, uint64_t hash);

}  // namespace bilberrypitch
