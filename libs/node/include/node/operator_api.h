// The operators' port: document, keys, audit trail, status, metrics, health.
#pragma once

#include <boost/leaf/result.hpp>
#include <functional>
#include <memory>
#include <string>

#include "node/document_service.h"
#include "node/node_context.h"
#include "transport/http_message.h"
#include "transport/responder.h"

namespace bilberrypitch {

// Thread-safe; handlers block on the store.
class OperatorApi {
 public:
  // `status` gives the JSON of GET /status; `ready` answers /readyz.
  OperatorApi(const NodeContext& context, std::function<std::string()> status,
              std::function<bool()> ready);

  void Handle(HttpRequest request, std::shared_ptr<Responder> responder);

 private:
  boost::leaf::result<HttpResponse> Route(const HttpRequest& request);
  boost::leaf::result<HttpResponse> GetDocument();
  boost::leaf::result<HttpResponse> PutDocument(const HttpRequest& request);
  boost::leaf::result<HttpResponse> IssueKey(const HttpRequest& request);
  boost::leaf::result<HttpResponse> WithdrawKey(const HttpRequest& request);
  boost::leaf::result<HttpResponse> ListKeys();
  boost::leaf::result<HttpResponse> Audit();
  bool Allowed(const HttpRequest& request) const;

  const NodeContext context_;
  const std::function<std::string()> status_;
  const std::function<bool()> ready_;
  DocumentService documents_;
};

}  // namespace bilberrypitch
