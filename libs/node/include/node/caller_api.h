// The callers' port: who calls, and which part answers.
#pragma once

#include <memory>
#include <string>

#include "node/model_api.h"
#include "node/node_context.h"
#include "transport/http_message.h"

namespace bilberrypitch {

class FleetService;
class ModelApi;
class ServiceApi;

// Thread-safe.
class CallerApi {
 public:
  CallerApi(const NodeContext& context, FleetService* fleet, ModelApi* models,
            ServiceApi* services);

  void Handle(HttpRequest request, std::shared_ptr<Responder> responder);

 private:
  bool Authenticate(const HttpRequest& request, const Catalog& catalog,
                    Caller* caller, std::string* presented) const;
  void HandleService(const HttpRequest& request, const RequestId& id,
                     const Catalog& catalog,
                     std::shared_ptr<Responder> responder);
  void Refuse(Responder& responder, const RequestId& id, ErrorKind kind,
              std::string detail);

  const NodeContext context_;
  FleetService* const fleet_;
  ModelApi* const models_;
  ServiceApi* const services_;
};

}  // namespace bilberrypitch
