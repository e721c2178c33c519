// Comparison of the registrations of an upstream.
#include "serving/upstream_entry.h"

#include <algorithm>
#include <tuple>

namespace bilberrypitch {
namespace {

auto FieldsOf(const UpstreamEntry& entry) {
  return std::tie(entry.id, entry.service, entry.address, entry.zone,
                  entry.slots, entry.draining, entry.started_ms,
                  entry.software);
}

}  // namespace

bool EqualButForAdapters(const UpstreamEntry& first,
                         const UpstreamEntry& second) {
  return FieldsOf(first) == FieldsOf(second) &&
         std::equal(first.models.begin(), first.models.end(),
                    second.models.begin(), second.models.end(),
                    [](const LoadedModel& a, const LoadedModel& b) {
                      return a.model == b.model && a.version == b.version;
                    });
}

}  // namespace bilberrypitch
