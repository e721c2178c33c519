// Admission of requests to models: reads the OpenAI-style body, resolves
// adapter and version once, and hands the request to the dispatcher.
#pragma once

#include <boost/leaf/result.hpp>
#include <memory>
#include <string>

#include "base/error.h"
#include "base/strong.h"
#include "node/model_request.h"
#include "node/node_context.h"
#include "transport/http_message.h"

namespace bilberrypitch {

class Dispatcher;

// Who calls, as its key showed.
struct Caller {
  WorkspaceId workspace;
  std::string key_id;
};

// Thread-safe.
class ModelApi {
 public:
  ModelApi(const NodeContext& context, Dispatcher* dispatcher);

  void Complete(const HttpRequest& request, const RequestId& id,
                const Caller& caller, std::shared_ptr<Responder> responder,
                Millis now);
  // The adapters that the caller's workspace may use.
  HttpResponse ListModels(const Caller& caller) const;

 private:
  boost::leaf::result<ModelRequestFacts> Admit(const HttpRequest& request,
                                               const RequestId& id,
                                               const Caller& caller,
                                               Millis now) const;

  const NodeContext context_;
  Dispatcher* const dispatcher_;
};

}  // namespace bilberrypitch
