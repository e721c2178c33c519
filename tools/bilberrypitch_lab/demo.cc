// The demonstration: three instances in two availability zones, two engines, a
// plain service and the platform's store.
#include "demo.h"

#include <fmt/format.h>

#include <cstdio>

#include "deployment.h"

namespace bilberrypitch::lab {
namespace {

constexpr char kKey[] = "k-demo-1";
constexpr int kInForceMs = 5000;
constexpr int kWaitMs = 20000;

class Demo {
 public:
  explicit Demo(const ProgramPaths& paths) : it_(paths) {}

  int Run() {
    Start();
    ShowAnswers();
    ShowRefusals();
    ShowWithdrawnKey();
    StopInstances();
    Say(failed_ ? "demo: failed" : "demo: ok");
    return failed_ ? 1 : 0;
  }

 private:
  static void Say(const std::string& text) {
    fmt::print("== {}\n", text);
    std::fflush(stdout);
  }

  void Expect(bool holds, const std::string& what) {
    if (!holds) {
      failed_ = true;
      fmt::print("FAILED: {}\n", what);
    }
  }

  void Show(const CallOutcome& it, int expected) {
    fmt::print("{} {}\n", it.status, it.body);
    Expect(it.status == expected, fmt::format("status {}", expected));
  }

  void Start() {
    Say("the store, two engines and a plain service");
    it_.StartStore();
    it_.StartUpstream("engine-a", {});
    UpstreamShape in_b;
    in_b.zone = "b";
    it_.StartUpstream("engine-b", in_b);
    UpstreamShape plain;
    plain.engine = false;
    it_.StartUpstream("booking", plain);
    Say("the operator writes a configuration; three instances start");
    config_.workspaces = {{"club", {kKey}}};
    it_.WriteConfig(config_);
    it_.StartInstance("entry-1", "a");
    it_.StartInstance("entry-2", "a");
    it_.StartInstance("entry-3", "b");
    for (const std::string& name : it_.instances()) {
      it_.WaitReady(name);
    }
  }

  Asked Request(const std::string& path, const std::string& adapter) const {
    Asked asked;
    asked.path = path;
    asked.key = kKey;
    asked.adapter = adapter;
    asked.deadline_ms = kWaitMs;
    return asked;
  }

  void ShowAnswers() {
    Say("a whole answer of adapter coach through entry-1: it is loaded first");
    Show(it_.Ask("entry-1", Request("/ask/x", "coach")), 200);
    Say("a streamed answer through entry-3");
    Show(it_.Ask("entry-3", Request("/stream/x", "coach")), 200);
    Say("a booking and an open route of the plain service");
    Show(it_.Ask("entry-2", Request("/once/lane", "")), 200);
    Asked open;
    open.path = "/hours/today";
    Show(it_.Ask("entry-2", open), 200);
  }

  void ShowRefusals() {
    Say("refusals: no key, no route");
    Asked without = Request("/ask/x", "coach");
    without.key.clear();
    Show(it_.Ask("entry-1", without), 401);
    Show(it_.Ask("entry-1", Request("/nowhere/x", "")), 404);
  }

  void ShowWithdrawnKey() {
    Say("the key is withdrawn and stops working everywhere");
    config_.version = 2;
    config_.workspaces = {{"club", {"k-demo-2"}}};
    it_.WriteConfig(config_);
    for (const std::string& name : it_.instances()) {
      auto refused = [&] {
        return it_.Ask(name, Request("/ask/x", "coach")).status == 401;
      };
      Expect(ProcessGroup::WaitFor(kInForceMs, refused), name + " refuses it");
    }
    Show(it_.Ask("entry-2", Request("/ask/x", "coach")), 401);
  }

  void StopInstances() {
    Say("a planned stop");
    for (const std::string& name : it_.instances()) {
      Expect(it_.processes().Terminate(name) == 0, name + " ends with 0");
      std::string log = it_.processes().Log(name);
      Expect(log.find(kKey) == std::string::npos, "no key in its log");
    }
  }

  Deployment it_;
  ConfigShape config_;
  bool failed_ = false;
};

}  // namespace

int Demonstrate(const ProgramPaths& paths) { return Demo(paths).Run(); }

}  // namespace bilberrypitch::lab
