// Implements the state machine of the versions that have served.
#include "serving/served_versions.h"

#include <algorithm>

namespace bilberrypitch {
namespace {

constexpr Millis kDelayPerRank{100};
// Beyond it instances may write at the same time; one write takes effect.
constexpr Millis kLongestDelay{1000};
constexpr Millis kRetryDelay{500};

}  // namespace

void ServedVersions::SetLive(const ServiceId& service,
                             std::set<SoftwareVersion> versions, Millis now) {
  State& state = services_[service];
  // Those that have just gone served until now.
  for (const SoftwareVersion& version : state.live) {
    state.last_seen[version] = now;
  }
  for (const SoftwareVersion& version : versions) {
    state.last_seen[version] = now;
  }
  state.live = std::move(versions);
}

void ServedVersions::OnRecord(const ServiceId& service, VersionRecord record,
                              Millis now) {
  State& state = services_[service];
  for (const SoftwareVersion& version : record.active) {
    state.last_seen[version] = now;
  }
  for (const SoftwareVersion& version : record.retired) {
    state.last_seen.try_emplace(version, now);
  }
  if (record.era < era_) {
    state.last_seen[SoftwareVersion()] = now;
  }
  state.record = std::move(record);
  state.had_record = true;
}

void ServedVersions::OnRecordRemoved(const ServiceId& service) {
  services_[service].record.reset();
}

bool ServedVersions::OnEra(int64_t era, Millis now) {
  if (era <= era_) {
    return false;
  }
  era_ = era;
  for (auto& [service, state] : services_) {
    if (state.record && !IsCurrent(state)) {
      state.last_seen[SoftwareVersion()] = now;
    }
  }
  return true;
}

bool ServedVersions::IsCurrent(const State& state) const {
  return state.record && state.record->era >= era_;
}

bool ServedVersions::MayBegin(const ServiceId& service,
                              const SoftwareVersion& version) const {
  auto it = services_.find(service);
  return it != services_.end() && it->second.record &&
         it->second.record->active.count(version) > 0;
}

std::set<SoftwareVersion> ServedVersions::VersionsOf(
    const ServiceId& service) const {
  std::set<SoftwareVersion> versions;
  auto it = services_.find(service);
  if (it == services_.end()) {
    return versions;
  }
  if (it->second.record) {
    const VersionRecord& record = *it->second.record;
    versions = record.active;
    versions.insert(record.retired.begin(), record.retired.end());
  }
  for (const auto& [version, at] : it->second.last_seen) {
    versions.insert(version);
  }
  return versions;
}

std::optional<SoftwareVersion> ServedVersions::OnlyVersion(
    const ServiceId& service) const {
  auto it = services_.find(service);
  if (it == services_.end() || !it->second.record) {
    return std::nullopt;
  }
  std::set<SoftwareVersion> versions = VersionsOf(service);
  bool is_one = versions.size() == 1 && !versions.begin()->empty();
  return is_one ? std::optional(*versions.begin()) : std::nullopt;
}

std::vector<ServiceId> ServedVersions::Services() const {
  std::vector<ServiceId> services;
  for (const auto& [service, state] : services_) {
    services.push_back(service);
  }
  return services;
}

bool ServedVersions::IsMixed(const ServiceId& service) const {
  return !OnlyVersion(service).has_value();
}

VersionRecord ServedVersions::Needed(const State& state, Millis now) const {
  VersionRecord needed;
  needed.active = state.live;
  for (const auto& [version, at] : state.last_seen) {
    if (state.live.count(version) == 0 && now - at < time_to_live_) {
      needed.retired.insert(version);
    }
  }
  needed.era = era_;
  needed.revision = state.record ? state.record->revision : StoreRevision();
  return needed;
}

bool ServedVersions::NeedsWrite(const State& state,
                                const VersionRecord& needed) const {
  if (state.live.empty()) {
    return false;  // Nothing can begin, and what has gone may return.
  }
  return !IsCurrent(state) || state.record->active != needed.active ||
         state.record->retired != needed.retired;
}

std::optional<ServedVersions::Write> ServedVersions::TakeWrite(size_t rank,
                                                               Millis now) {
  std::optional<Write> write;
  for (auto& [service, state] : services_) {
    if (!state.had_record && !is_first_start_) {
      state.last_seen.try_emplace(SoftwareVersion(), now);
    }
    VersionRecord needed = Needed(state, now);
    std::erase_if(state.last_seen, [&](const auto& seen) {
      return needed.active.count(seen.first) == 0 &&
             needed.retired.count(seen.first) == 0;
    });
    if (!NeedsWrite(state, needed)) {
      state.write_due = Millis(0);
      continue;
    }
    if (state.write_due == Millis(0)) {
      state.write_due =
          now +
          std::min(kLongestDelay, kDelayPerRank * static_cast<int64_t>(rank));
    }
    if (!write && now >= state.write_due) {
      state.write_due = now + kRetryDelay;
      write = Write{service, std::move(needed)};
    }
  }
  return write;
}

Millis ServedVersions::NextDue(Millis now) const {
  Millis next;
  auto consider = [&](Millis at) {
    if (next == Millis(0) || at < next) {
      next = at;
    }
  };
  for (const auto& [service, state] : services_) {
    if (state.write_due != Millis(0)) {
      consider(std::max(state.write_due, now + Millis(1)));
    }
    for (const auto& [version, at] : state.last_seen) {
      if (state.live.count(version) == 0) {
        consider(std::max(at + time_to_live_, now + Millis(1)));
      }
    }
  }
  return next;
}

}  // namespace bilberrypitch
