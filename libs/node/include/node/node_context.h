// What every service of an entry instance shares. Built once by Node; all it
// points at outlives the services.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "base/strong.h"

namespace bilberrypitch {

class Catalog;
class HttpClient;
class Metrics;
class StoreClient;

namespace schema {
class Envelope;
class Settings;
}  // namespace schema

struct NodeContext {
  const schema::Settings* settings = nullptr;
  HttpClient* http = nullptr;
  StoreClient* store = nullptr;
  Metrics* metrics = nullptr;
  InstanceId instance;
  BootId boot;
  ZoneId zone;
  // The document in force; null before the first.
  std::function<std::shared_ptr<const Catalog>()> catalog;
  // Sends to a peer's address, with this instance's name filled in.
  std::function<void(const std::string&, schema::Envelope)> send;
};

}  // namespace bilberrypitch
