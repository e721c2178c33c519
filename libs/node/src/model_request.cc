// The life of a model request at an engine.
#include "node/model_request.h"

#include <atomic>

#include "node/attempt_failure.h"
#include "transport/http_server.h"

namespace bilberrypitch {
namespace {

constexpr std::string_view kDoneEvent = "[DONE]";

// The event with the engine's name of the model replaced by the caller's.
// False when it is about another model.
bool RenameModel(std::string_view event, const std::string& engine_name,
                 const std::string& caller_name, std::string* out) {
  std::string needle = "\"model\":\"" + engine_name + "\"";
  size_t at = event.find(needle);
  if (at != std::string_view::npos) {
    *out = std::string(event.substr(0, at)) +
           "\"model\":" + json::serialize(json::value(caller_name)) +
           std::string(event.substr(at + needle.size()));
    return true;
  }
  boost::system::error_code ec;
  json::value value = json::parse(event, ec);
  if (ec || !value.is_object()) {
    return false;
  }
  json::value* model = value.get_object().if_contains("model");
  if (model == nullptr || !model->is_string() ||
      model->get_string() != engine_name) {
    return false;
  }
  *model = caller_name;
  *out = json::serialize(value);
  return true;
}

double CompletionTokens(const json::object& body) {
  const json::value* usage = body.if_contains("usage");
  if (usage == nullptr || !usage->is_object()) {
    return 0;
  }
  const json::value* n = usage->get_object().if_contains("completion_tokens");
  return n != nullptr && n->is_number() ? n->to_number<double>() : 0;
}

}  // namespace

ModelRequest::ModelRequest(ModelRequestFacts facts,
                           std::shared_ptr<Responder> responder,
                           size_t most_backlog_bytes)
    : facts_(std::move(facts)),
      most_backlog_bytes_(most_backlog_bytes),
      responder_(std::move(responder)),
      backlog_(std::make_shared<std::atomic<int64_t>>(0)),
      gone_(std::make_shared<std::atomic<bool>>(false)) {}

bool ModelRequest::ended() const {
  std::lock_guard lock(lock_);
  return responder_ == nullptr;
}

std::string ModelRequest::AttemptBody(const IncarnationId& name) const {
  json::object body = facts_.body;
  body["model"] = name.str();
  body["max_tokens"] = static_cast<int64_t>(facts_.most_output_tokens);
  body["priority"] = facts_.priority;
  return json::serialize(body);
}

void ModelRequest::Start(HttpClient* client, const std::string& address,
                         const ResidencyCandidate& candidate,
                         CallDeadlines deadlines, bool fresh, Done done) {
  auto self = shared_from_this();
  HttpCall call;
  call.method = "POST";
  call.address = address;
  call.target = facts_.path;
  call.headers.Add("Content-Type", "application/json");
  call.headers.Add("X-Request-Id", facts_.id.str());
  call.body = AttemptBody(candidate.name);
  call.deadlines = deadlines;
  call.own_connection = fresh;
  if (facts_.stream) {
    call.on_data = [self](std::string_view bytes) {
      return self->OnData(bytes);
    };
  }
  call.on_done = [self, done = std::move(done)](CallOutcome outcome) {
    done(self, self->Judge(outcome));
  };
  std::lock_guard lock(lock_);
  attempt_ = Attempt();
  attempt_.name = candidate.name;
  call_ = client->Start(std::move(call));
}

bool ModelRequest::OnData(std::string_view bytes) {
  std::lock_guard lock(lock_);
  if (responder_ == nullptr) {
    return false;
  }
  if (gone_->load()) {
    caller_gone_ = true;
    return false;
  }
  bool ok = attempt_.splitter.Feed(
      bytes, [this](std::string_view event) { return OnEvent(event); });
  if (!ok && !slow_) {
    attempt_.wrong = true;
  }
  return ok;
}

bool ModelRequest::OnEvent(std::string_view event) {
  if (attempt_.saw_done) {
    return false;  // Something after the end.
  }
  if (event == kDoneEvent) {
    attempt_.saw_done = true;
    return true;
  }
  std::string text;
  if (!RenameModel(event, attempt_.name.str(), facts_.model, &text)) {
    return false;
  }
  attempt_.output_tokens += 1;
  WriteEvent(std::move(text));
  return !slow_;
}

void ModelRequest::WriteEvent(std::string text) {
  if (!streaming_) {
    HttpHeaders headers;
    headers.Add("Content-Type", "text/event-stream");
    headers.Add("Cache-Control", "no-cache");
    headers.Add("X-Request-Id", facts_.id.str());
    responder_->StartStream(200, headers);
    streaming_ = true;
  }
  std::string data = "data: " + std::move(text) + "\n\n";
  auto bytes = static_cast<int64_t>(data.size());
  int64_t waiting = backlog_->fetch_add(bytes) + bytes;
  if (waiting > static_cast<int64_t>(most_backlog_bytes_)) {
    slow_ = true;
  }
  responder_->WriteChunk(std::move(data),
                         [backlog = backlog_, gone = gone_, bytes](bool ok) {
                           backlog->fetch_sub(bytes);
                           if (!ok) gone->store(true);
                         });
}

AttemptEnd ModelRequest::Judge(const CallOutcome& outcome) {
  std::unique_lock lock(lock_);
  AttemptEnd end;
  end.result = outcome.result;
  end.output_tokens = attempt_.output_tokens;
  if (responder_ == nullptr || caller_gone_) {
    responder_.reset();
    end.caller_gone = true;
    return end;
  }
  if (slow_) {
    lock.unlock();
    Fail({ErrorKind::kSlowCaller, "The caller reads too slowly.",
          NotRun::kFalse});
    end.caller_gone = true;
    return end;
  }
  end.failure = FailureOf(outcome.result);
  if (attempt_.wrong) {
    end.failure = AttemptFailure::kWrongAnswer;
    return end;
  }
  if (outcome.result != CallResult::kComplete) {
    return end;
  }
  if (outcome.status == 404) {
    end.not_loaded = true;
    end.failure = AttemptFailure::kRefusedUnrun;
    return end;
  }
  std::string_view echo = outcome.headers.Get("X-Request-Id");
  if (!echo.empty() && echo != facts_.id.str()) {
    end.failure = AttemptFailure::kWrongAnswer;
    return end;
  }
  if (outcome.status >= 500) {
    end.failure = AttemptFailure::kBroken;
    return end;
  }
  if (facts_.stream && outcome.status < 300) {
    end.failure = AttemptFailure::kWrongAnswer;
    if (attempt_.saw_done && attempt_.splitter.AtBoundary()) {
      responder_->WriteChunk("data: [DONE]\n\n", {});
      responder_->EndStream();
      responder_.reset();
      end.answered = true;
    }
    return end;
  }
  return JudgeWhole(outcome);
}

AttemptEnd ModelRequest::JudgeWhole(const CallOutcome& outcome) {
  AttemptEnd end;
  end.result = outcome.result;
  end.failure = AttemptFailure::kWrongAnswer;
  HttpResponse response;
  response.status = outcome.status;
  response.headers.Add("Content-Type", "application/json");
  response.headers.Add("X-Request-Id", facts_.id.str());
  if (outcome.status >= 300) {
    response.body = outcome.body;  // The engine's refusal of this request.
  } else {
    boost::system::error_code ec;
    json::value value = json::parse(outcome.body, ec);
    if (ec || !value.is_object()) {
      return end;
    }
    json::value* model = value.get_object().if_contains("model");
    if (model == nullptr || !model->is_string() ||
        model->get_string() != attempt_.name.str()) {
      return end;
    }
    *model = facts_.model;
    end.output_tokens = CompletionTokens(value.get_object());
    response.body = json::serialize(value);
  }
  responder_->Send(std::move(response));
  responder_.reset();
  end.answered = true;
  return end;
}

void ModelRequest::Fail(const Error& error) {
  std::lock_guard lock(lock_);
  if (responder_ == nullptr) {
    return;
  }
  if (streaming_) {
    // The stream ends without [DONE], after an event that says why.
    Error told = error;
    told.not_run = NotRun::kFalse;
    responder_->WriteChunk("data: " + ErrorBody(told, facts_.id.str()) + "\n\n",
                           {});
    responder_->EndStream();
  } else {
    responder_->Send(ErrorResponse(error, facts_.id.str()));
  }
  responder_.reset();
}

void ModelRequest::Abort(HttpClient* client, const Error& error) {
  CallId call = 0;
  {
    std::lock_guard lock(lock_);
    call = call_;
  }
  Fail(error);
  if (call != 0) {
    client->Cancel(call);
  }
}

}  // namespace bilberrypitch
