// Control cost without load.
#include "idle_cost.h"

#include <fmt/format.h>

#include <chrono>
#include <fstream>
#include <thread>
#include <vector>

namespace bilberrypitch::lab {
namespace {

constexpr int kZones = 3;
constexpr int kAdapters = 3000;
constexpr double kSeconds = 10;

// Counters of all instances, summed.
struct Totals {
  double processor_s = 0;
  double bytes = 0;
  double messages = 0;
  double reads = 0;
  double writes = 0;
  double memory = 0;
};

Totals Count(Deployment& it, const std::vector<std::string>& names) {
  Totals totals;
  for (const std::string& name : names) {
    totals.processor_s += it.Metric(name, "process_cpu_seconds");
    totals.bytes += it.Metric(name, "peer_bytes_sent");
    totals.messages += it.Metric(name, "peer_messages_sent");
    totals.reads += it.Metric(name, "store_calls{kind=\"read\"}");
    totals.writes += it.Metric(name, "store_calls{kind=\"write\"}");
    totals.memory += it.Metric(name, "process_peak_memory_bytes");
  }
  return totals;
}

json::object MeasureSize(const ProgramPaths& paths, int instances) {
  Deployment it(paths);
  it.StartPlatform(300);
  std::vector<std::string> names;
  for (int zone = 0; zone < kZones; ++zone) {
    std::string name = fmt::format("zone-{}", zone);
    it.AddZone(name, static_cast<uint32_t>(instances / kZones));
    for (int i = 0; i < 3; ++i) {
      it.StartEngine(fmt::format("engine-{}-{}", zone, i), name, {});
    }
  }
  for (int i = 0; i < 5; ++i) {
    std::string name = fmt::format("workspace-{}", i);
    it.AddWorkspace(name, 100, 1000);
    it.AddAdapters(name + "-", kAdapters / 5, name);
  }
  for (int i = 0; i < instances; ++i) {
    names.push_back(fmt::format("entry-{}", i));
    it.StartInstance(names.back(), fmt::format("zone-{}", i % kZones));
  }
  it.PutDocument(names[0], 0);
  it.WaitReady(names);
  std::this_thread::sleep_for(std::chrono::seconds(8));
  Totals before = Count(it, names);
  auto begun = std::chrono::steady_clock::now();
  std::this_thread::sleep_for(
      std::chrono::milliseconds(static_cast<int>(kSeconds * 1000)));
  Totals after = Count(it, names);
  double seconds =
      std::chrono::duration<double>(std::chrono::steady_clock::now() - begun)
          .count() *
      instances;
  return {{"instances", instances},
          {"core_percent",
           100 * (after.processor_s - before.processor_s) / seconds},
          {"peer_bytes_per_s", (after.bytes - before.bytes) / seconds},
          {"peer_messages_per_s", (after.messages - before.messages) / seconds},
          {"store_reads_per_s", (after.reads - before.reads) / seconds},
          {"store_writes_per_s", (after.writes - before.writes) / seconds},
          {"peak_memory_mb", after.memory / instances / 1e6}};
}

}  // namespace

int MeasureIdle(const ProgramPaths& paths, const std::string& out) {
  json::array rows;
  for (int instances : {3, 9, 18}) {
    rows.push_back(MeasureSize(paths, instances));
    fmt::print("{}\n", json::serialize(rows.back()));
  }
  std::ofstream(out + ".json") << json::serialize(rows) << "\n";
  return 0;
}

}  // namespace bilberrypitch::lab
