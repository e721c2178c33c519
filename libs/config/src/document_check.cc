// Checks a document across its sections.
#include "config/document_check.h"

#include <fmt/format.h>

#include <set>
#include <string>

#include "schema/document.pb.h"

namespace bilberrypitch {
namespace {

class Checker {
 public:
  explicit Checker(const schema::Document& document) : document_(document) {}

  std::vector<FieldError> Run() {
    CollectNames();
    CheckKeys();
    CheckAdapters();
    CheckUpstreams();
    CheckRoutes();
    return std::move(errors_);
  }

 private:
  void Fail(std::string path, std::string message) {
    errors_.push_back({std::move(path), std::move(message)});
  }

  template <typename Items>
  std::set<std::string> Unique(const Items& items, const char* section) {
    std::set<std::string> names;
    int i = 0;
    for (const auto& it : items) {
      if (!names.insert(it.name()).second) {
        Fail(fmt::format("{}[{}].name", section, i),
             fmt::format("`{}` stands twice", it.name()));
      }
      ++i;
    }
    return names;
  }

  void CollectNames() {
    workspaces_ = Unique(document_.workspaces(), "workspaces");
    zones_ = Unique(document_.fleet().zones(), "fleet.zones");
    Unique(document_.adapters(), "adapters");
    Unique(document_.upstreams(), "upstreams");
    Unique(document_.routes(), "routes");
    for (const schema::Upstream& it : document_.upstreams()) {
      auto& pools = it.kind() == schema::Upstream::ENGINE ? engine_pools_
                                                          : service_pools_;
      pools.insert(it.pool());
    }
  }

  void CheckKeys() {
    std::set<std::string> ids;
    int i = 0;
    for (const schema::Key& it : document_.keys()) {
      if (!ids.insert(it.id()).second) {
        Fail(fmt::format("keys[{}].id", i),
             fmt::format("`{}` stands twice", it.id()));
      }
      if (workspaces_.count(it.workspace()) == 0) {
        Fail(fmt::format("keys[{}].workspace", i),
             fmt::format("no workspace `{}`", it.workspace()));
      }
      ++i;
    }
  }

  void CheckAdapters() {
    int i = 0;
    for (const schema::Adapter& it : document_.adapters()) {
      std::string path = fmt::format("adapters[{}]", i++);
      if (!it.workspace().empty() && workspaces_.count(it.workspace()) == 0) {
        Fail(path + ".workspace",
             fmt::format("no workspace `{}`", it.workspace()));
      }
      std::set<uint32_t> numbers;
      for (const schema::AdapterVersion& version : it.versions()) {
        if (!numbers.insert(version.number()).second) {
          Fail(path + ".versions",
               fmt::format("version {} stands twice", version.number()));
        }
      }
      if (numbers.count(it.current_version()) == 0) {
        Fail(path + ".current_version",
             fmt::format("no version {}", it.current_version()));
      }
    }
  }

  void CheckUpstreams() {
    int i = 0;
    std::set<std::string> addresses;
    for (const schema::Upstream& it : document_.upstreams()) {
      std::string path = fmt::format("upstreams[{}]", i++);
      if (zones_.count(it.zone()) == 0) {
        Fail(path + ".zone",
             fmt::format("no availability zone `{}`", it.zone()));
      }
      if (!addresses.insert(it.address()).second) {
        Fail(path + ".address", "stands twice");
      }
    }
    for (const std::string& pool : engine_pools_) {
      if (service_pools_.count(pool) != 0) {
        Fail("upstreams",
             fmt::format("pool `{}` mixes engines and services", pool));
      }
    }
  }

  void CheckRoutes() {
    int i = 0;
    for (const schema::Route& it : document_.routes()) {
      if (service_pools_.count(it.pool()) == 0) {
        Fail(fmt::format("routes[{}].pool", i),
             fmt::format("no service in pool `{}`", it.pool()));
      }
      ++i;
    }
  }

  const schema::Document& document_;
  std::set<std::string> workspaces_;
  std::set<std::string> zones_;
  std::set<std::string> engine_pools_;
  std::set<std::string> service_pools_;
  std::vector<FieldError> errors_;
};

}  // namespace

std::vector<FieldError> CheckDocument(const schema::Document& document) {
  return Checker(document).Run();
}

std::vector<FieldError> ReadDocument(std::string_view text,
                                     schema::Document* document) {
  std::vector<FieldError> errors = ReadJson(text, document);
  if (!errors.empty()) {
    return errors;
  }
  return CheckDocument(*document);
}

}  // namespace bilberrypitch
