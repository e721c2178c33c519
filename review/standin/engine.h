// The contents of a model engine: one base model, adapter slots, and orders as
// the platform's pages describe them.
#pragma once

#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "fleet.h"
#include "net.h"
#include "upstream.h"

namespace review {

// The store that all engines fetch adapters from. A load takes `load_ms` while
// no more than `at_once` are on their way, longer in proportion beyond.
class AdapterStore {
 public:
  int64_t StartLoad();

 private:
  static constexpr int64_t kLoadMs = 250;
  static constexpr int64_t kAtOnce = 8;
  std::mutex mutex_;
  std::vector<int64_t> ends_ms_;
};

struct EngineOptions {
  std::string model = "base";
  size_t adapter_slots = 6;
};

// Thread-safe.
class EngineContents {
 public:
  // `store` outlives the contents.
  EngineContents(EngineOptions options, AdapterStore* store)
      : options_(std::move(options)), store_(store) {}

  // The response's status and body.
  struct Result {
    int status = 200;
    std::string body = "{}";
  };
  Result Order(const std::string& body);
  // `born_ms`: when the engine started.
  std::string Report(int64_t born_ms);
  // The list of models, as JSON.
  std::string Models();
  // Whether the adapter is loaded; a run on it begins then.
  bool StartRun(const std::string& adapter);
  void EndRun(const std::string& adapter);
  // An order would have exceeded the slots.
  bool exceeded();

 private:
  struct Adapter {
    int64_t version = 1;
    int64_t ready_at_ms = 0;
    int running = 0;
    bool unloading = false;
  };
  Result Load(const std::string& adapter, int64_t version);
  Result Unload(const std::string& adapter);
  std::string ModelsAt(int64_t now_ms) const;

  const EngineOptions options_;
  AdapterStore* const store_;
  std::mutex mutex_;
  std::map<std::string, Adapter> adapters_;
  int64_t seq_ = 0;
  int64_t fence_ = 0;
  bool exceeded_ = false;
};

// The adapter that a request names; empty: none.
std::string AdapterOf(const Message& request);
// Answers a report or an order. Returns false if the request is neither.
bool AnswerEngineCall(Upstream* engine, EngineContents* contents,
                      UpstreamConnection* connection, const Message& request,
                      Record* record);
// Runs a stream and sends it. Returns false if the connection has ended.
bool SendStream(const Upstream& engine, const UpstreamConnection& connection,
                const std::string& request_id);
// The service of the engines and a stream route, at most once, for one tenant
// with the key "key-1".
ConfigText EngineConfig();
// A request of that tenant to that route.
std::string StreamRequest(const std::string& request_id,
                          const std::string& adapter);

// Returns the text or the number of a field of flat JSON; empty: there is none.
std::string JsonField(const std::string& json, const std::string& name);

}  // namespace review
