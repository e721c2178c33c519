// The deployment of the process tests.
#include "small_deployment.h"

#include <fmt/format.h>

#include "schema/document.pb.h"

namespace bilberrypitch::lab {

SmallDeployment::SmallDeployment(const SmallOptions& options)
    : Deployment({BP_PRODUCT, BP_LAB}) {
  StartPlatform(300);
  for (int i = 0; i < options.engines; ++i) {
    std::string name = fmt::format("engine-{}", i + 1);
    StartEngine(name, i % 2 == 0 ? "a" : "b", options.engine);
    if (options.relay_engines) StartRelay(name);
  }
  StartService("booking", "a", "booking");
  if (options.relay_service) StartRelay("booking");
  if (options.relay_store) StartRelay("store");
  AddWorkspace("club", options.rate, options.burst);
  AddWorkspace("other", 1000, 10000);
  AddAdapters("coach", options.adapters, "club");
  AddAdapters("theirs", 1, "other");
  AddZone("a", 2);
  AddZone("b", 1);
  document().mutable_fleet()->set_loads_per_s(20);
  for (bool open : {false, true}) {
    schema::Route* route = document().add_routes();
    route->set_name(open ? "hours" : "lanes");
    route->set_pool("booking");
    route->set_open(open);
    route->set_idempotent(open);
  }
  StartInstance("entry-1", "a", options.instance);
  StartInstance("entry-2", "a", options.instance);
  StartInstance("entry-3", "b", options.instance);
  int status = PutDocument("entry-1", 0);
  if (status != 200) {
    throw std::runtime_error("the document was refused: " +
                             std::to_string(status));
  }
  key_ = IssueKey("entry-1", "club");
  WaitReady(instances_);
  bool known = true;
  for (const std::string& it : instances_) {
    known = known && WaitFor(5000, [&] {
              return Status(it)["generation"].to_number<int64_t>() >= 2;
            });
  }
  if (!known) throw std::runtime_error("the key is not known everywhere");
}

bool SmallDeployment::Warm(const std::string& instance,
                           const std::string& model) {
  return WaitFor(20000,
                 [&] { return Ask(instance, key_, model, 1).status == 200; });
}

CallOutcome SmallDeployment::Book(const std::string& instance,
                                  const std::string& body,
                                  const std::string& idempotency_key) {
  HttpHeaders headers;
  headers.Add("Authorization", "Bearer " + key_);
  if (!idempotency_key.empty()) {
    headers.Add("Idempotency-Key", idempotency_key);
  }
  return Call(instance, "POST", "/services/lanes/book", body, headers);
}

int64_t SmallDeployment::Runs(const std::string& body) {
  json::object facts = Facts("booking");
  const json::value* runs = facts.if_contains("runs");
  if (runs == nullptr || !runs->is_object()) return -1;
  return IntOr(runs->get_object(), "POST /book " + body, 0);
}

std::string SmallDeployment::ErrorKindIn(const CallOutcome& outcome) {
  json::object body = ParseObject(outcome.body);
  const json::value* error = body.if_contains("error");
  return error == nullptr || !error->is_object()
             ? ""
             : StringOr(error->get_object(), "type", "");
}

std::string SmallDeployment::NotRunIn(const CallOutcome& outcome) {
  json::object body = ParseObject(outcome.body);
  const json::value* error = body.if_contains("error");
  return error == nullptr || !error->is_object()
             ? ""
             : StringOr(error->get_object(), "not_run", "");
}

}  // namespace bilberrypitch::lab
