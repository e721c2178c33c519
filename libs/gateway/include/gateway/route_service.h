// Explains where a request would be sent now, and why.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "base/json.h"
#include "serving/ids.h"
#include "transport/http_message.h"

namespace bilberrypitch {

struct ServingState;
struct UpstreamState;

// The path of the query on the address for other instances.
inline constexpr char kRoutePath[] = "/route";

// Answers with JSON, of which no field is made from a key. Nothing is sent or
// counted, and no quota is charged. The pointer passed to the constructor must
// outlive the service. Must be used on the event loop's thread only.
class RouteService {
 public:
  struct Hooks {
    std::function<bool()> path_is_lost;
    // Whether a stream that may continue may begin at this version.
    std::function<bool(const ServiceId&, const SoftwareVersion&)>
        may_begin_stream;
  };

  RouteService(ServingState* state, Hooks hooks)
      : state_(state), hooks_(std::move(hooks)) {}

  // The parameters of the query are those of `bilberrypitch route`.
  HttpResponse OnQuery(const HttpRequest& request) const;

 private:
  // The request that is asked about.
  struct Question;
  struct Decision;

  static std::optional<Question> ParseQuestion(std::string_view query);
  // Follows the admission of RequestHandler up to the choice.
  Decision Decide(const Question& question) const;
  // Why the request would be rejected before the choice; empty: it would not.
  std::string ReasonToReject(const Question& question,
                             Decision* decision) const;
  void Choose(const Question& question, Decision* decision) const;
  // The upstreams to choose from; notes why the others are none.
  std::vector<UpstreamState*> FindCandidates(Decision* decision) const;
  json::object Describe(const Decision& decision) const;

  ServingState* const state_;
  const Hooks hooks_;
};

}  // namespace bilberrypitch
