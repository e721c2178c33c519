// The demonstration. Starts three instances in two availability zones, two
// engines, a plain service and the fake store.
#include "demo.h"

#include <fmt/format.h>

#include <cstdio>

#include "deployment.h"

namespace bilberrypitch::lab {
namespace {

constexpr char kKey[] = "k-demo-1";
constexpr int kApplyTimeoutMs = 5000;
constexpr int kRequestTimeoutMs = 20000;

class Demo {
 public:
  explicit Demo(const ProgramPaths& paths) : deployment_(paths) {}

  int Run() {
    Start();
    ShowResponses();
    ShowRejections();
    ShowRevokedKey();
    StopInstances();
    PrintStep(failed_ ? "demo: failed" : "demo: ok");
    return failed_ ? 1 : 0;
  }

 private:
  static void PrintStep(const std::string& text) {
    fmt::print("== {}\n", text);
    std::fflush(stdout);
  }

  void Check(bool condition, const std::string& what) {
    if (!condition) {
      failed_ = true;
      fmt::print("FAILED: {}\n", what);
    }
  }

  void CheckResponse(const CallOutcome& outcome, int expected_status) {
    fmt::print("{} {}\n", outcome.status, outcome.body);
    Check(outcome.status == expected_status,
          fmt::format("status {}", expected_status));
  }

  void Start() {
    PrintStep("the store, two engines and a plain service");
    deployment_.StartStore();
    deployment_.StartUpstream("engine-a", {});
    UpstreamOptions zone_b_options;
    zone_b_options.zone = "b";
    deployment_.StartUpstream("engine-b", zone_b_options);
    UpstreamOptions plain_service;
    plain_service.is_engine = false;
    deployment_.StartUpstream("booking", plain_service);
    PrintStep("the operator writes a configuration; three instances start");
    config_.workspaces = {{"club", {kKey}}};
    deployment_.WriteConfig(config_);
    deployment_.StartInstance("entry-1", "a");
    deployment_.StartInstance("entry-2", "a");
    deployment_.StartInstance("entry-3", "b");
    for (const std::string& name : deployment_.instances()) {
      deployment_.WaitUntilReady(name);
    }
  }

  CallerRequest MakeRequest(const std::string& path,
                            const std::string& adapter) const {
    CallerRequest request;
    request.path = path;
    request.key = kKey;
    request.adapter = adapter;
    request.timeout_ms = kRequestTimeoutMs;
    return request;
  }

  void ShowResponses() {
    PrintStep(
        "a unary request for adapter coach through entry-1 loads it first");
    CheckResponse(
        deployment_.SendRequest("entry-1", MakeRequest("/ask/x", "coach")),
        200);
    PrintStep("a streamed response through entry-3");
    CheckResponse(
        deployment_.SendRequest("entry-3", MakeRequest("/stream/x", "coach")),
        200);
    PrintStep("a booking and a public route of the plain service");
    CheckResponse(
        deployment_.SendRequest("entry-2", MakeRequest("/once/lane", "")), 200);
    CallerRequest public_request;
    public_request.path = "/hours/today";
    CheckResponse(deployment_.SendRequest("entry-2", public_request), 200);
  }

  void ShowRejections() {
    PrintStep("rejections: no key, no route");
    CallerRequest without_key = MakeRequest("/ask/x", "coach");
    without_key.key.clear();
    CheckResponse(deployment_.SendRequest("entry-1", without_key), 401);
    CheckResponse(
        deployment_.SendRequest("entry-1", MakeRequest("/nowhere/x", "")), 404);
  }

  void ShowRevokedKey() {
    PrintStep("the key is revoked and stops working on every instance");
    config_.version = 2;
    config_.workspaces = {{"club", {"k-demo-2"}}};
    deployment_.WriteConfig(config_);
    for (const std::string& name : deployment_.instances()) {
      auto is_rejected = [&] {
        return deployment_.SendRequest(name, MakeRequest("/ask/x", "coach"))
                   .status == 401;
      };
      Check(ProcessGroup::WaitUntil(kApplyTimeoutMs, is_rejected),
            name + " rejects the revoked key");
    }
    CheckResponse(
        deployment_.SendRequest("entry-2", MakeRequest("/ask/x", "coach")),
        401);
  }

  void StopInstances() {
    PrintStep("the instances are stopped with SIGTERM");
    for (const std::string& name : deployment_.instances()) {
      Check(deployment_.processes().Terminate(name) == 0,
            name + " exits with 0");
      std::string log = deployment_.processes().ReadLog(name);
      Check(log.find(kKey) == std::string::npos, "no key in the log");
    }
  }

  Deployment deployment_;
  OperatorConfig config_;
  bool failed_ = false;
};

}  // namespace

int RunDemonstration(const ProgramPaths& paths) { return Demo(paths).Run(); }

}  // namespace bilberrypitch::lab
