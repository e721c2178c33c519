// The load generator.
#include "load_generator.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <thread>

#include "lab_server.h"

namespace bilberrypitch::lab {
namespace {

constexpr std::chrono::milliseconds kPoll{20};
constexpr double kBytesPerToken = 4;
constexpr Millis kAnswerDeadline{60 * 1000};

int64_t NowNs() {
  auto now = std::chrono::steady_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::nanoseconds>(now).count();
}

std::string ErrorKind(const std::string& body) {
  json::object object = ParseObject(body);
  const json::value* error = object.if_contains("error");
  return error == nullptr || !error->is_object()
             ? "broken"
             : StringOr(error->get_object(), "type", "broken");
}

}  // namespace

double Percentile(std::vector<double> values, double part) {
  if (values.empty()) {
    return 0;
  }
  std::sort(values.begin(), values.end());
  auto last = static_cast<double>(values.size() - 1);
  return values[static_cast<size_t>(std::llround(part * last))];
}

LoadGenerator::LoadGenerator(HttpClient* client, LoadOptions options,
                             std::vector<LoadWorkspace> workspaces)
    : client_(client),
      options_(std::move(options)),
      workspaces_(std::move(workspaces)),
      random_(options_.seed) {
  for (const LoadWorkspace& it : workspaces_) {
    std::vector<double>& weights = zipf_weights_[it.name];
    for (size_t i = 0; i < it.adapters.size(); ++i) {
      weights.push_back(1.0 /
                        std::pow(static_cast<double>(i + 1), options_.zipf));
    }
    buckets_[it.name].tokens = it.burst_tokens;
    outcomes_[it.name];
  }
}

const LoadWorkspace& LoadGenerator::PickWorkspace() {
  std::vector<double> shares;
  shares.reserve(workspaces_.size());
  for (const LoadWorkspace& it : workspaces_) {
    bool loud = it.name == options_.loud_workspace;
    shares.push_back(it.share * (loud ? options_.loud_factor : 1));
  }
  std::discrete_distribution<size_t> pick(shares.begin(), shares.end());
  return workspaces_[pick(random_)];
}

const std::string& LoadGenerator::PickAdapter(const LoadWorkspace& workspace,
                                              double now_s) {
  const std::vector<double>& weights = zipf_weights_[workspace.name];
  std::discrete_distribution<size_t> pick(weights.begin(), weights.end());
  size_t shift = 0;
  if (options_.shift_every_s > 0) {
    shift = static_cast<size_t>(now_s / options_.shift_every_s) * 7;
  }
  return workspace
      .adapters[(pick(random_) + shift) % workspace.adapters.size()];
}

bool LoadGenerator::TakeInsideRate(const LoadWorkspace& workspace, double cost,
                                   double now_s) {
  Bucket& bucket = buckets_[workspace.name];
  bucket.tokens = std::min(
      workspace.burst_tokens,
      bucket.tokens + workspace.rate_tokens_per_s * (now_s - bucket.at_s));
  bucket.at_s = now_s;
  if (bucket.tokens < cost) {
    return false;
  }
  bucket.tokens -= cost;
  return true;
}

void LoadGenerator::Send(double due_s) {
  const LoadWorkspace& workspace = PickWorkspace();
  json::array messages{json::object{{"role", "user"}, {"content", "hello"}}};
  double prompt = std::ceil(
      static_cast<double>(json::serialize(messages).size()) / kBytesPerToken);
  bool inside =
      TakeInsideRate(workspace, prompt + options_.output_tokens, due_s);
  HttpCall call;
  call.method = "POST";
  call.address =
      options_.addresses[next_address_++ % options_.addresses.size()];
  call.target = "/v1/chat/completions";
  call.headers.Add("Authorization", "Bearer " + workspace.key);
  call.body =
      json::serialize(json::object{{"model", PickAdapter(workspace, due_s)},
                                   {"stream", true},
                                   {"max_tokens", options_.output_tokens},
                                   {"messages", std::move(messages)}});
  call.deadlines.first_byte = kAnswerDeadline;
  auto first = std::make_shared<double>(-1);
  auto tail = std::make_shared<std::string>();
  call.on_data = [this, first, tail](std::string_view bytes) {
    if (*first < 0) {
      *first = static_cast<double>(NowNs() - begun_ns_) / 1e9;
    }
    tail->append(bytes);
    if (tail->size() > 2048) tail->erase(0, tail->size() - 1024);
    return true;
  };
  call.on_done = [this, first, tail, due_s, inside,
                  name = workspace.name](CallOutcome outcome) {
    std::lock_guard lock(lock_);
    LoadOutcome& it = outcomes_[name];
    ++it.sent;
    it.inside_rate += inside;
    bool whole = outcome.result == CallResult::kComplete &&
                 outcome.status == 200 &&
                 tail->find("[DONE]") != std::string::npos;
    if (whole) {
      ++it.answered;
      it.first_token_s.push_back(*first - due_s);
    } else if (outcome.result == CallResult::kComplete &&
               (outcome.status == 429 || outcome.status == 503)) {
      ++it.refused;
      it.refused_inside_rate += inside;
      ++it.kinds[ErrorKind(outcome.body)];
    } else {
      ++it.failed;
      ++it.kinds[outcome.status >= 400 ? ErrorKind(outcome.body) : "broken"];
    }
    --open_;
  };
  ++open_;
  client_->Start(std::move(call));
}

void LoadGenerator::Run(const std::function<void(double)>& at_time) {
  std::exponential_distribution<double> gap(options_.requests_per_s);
  begun_ns_ = NowNs();
  double next_s = gap(random_);
  while (next_s < options_.seconds) {
    double now_s = static_cast<double>(NowNs() - begun_ns_) / 1e9;
    at_time(now_s);
    while (next_s <= now_s && next_s < options_.seconds) {
      Send(next_s);
      next_s += gap(random_);
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(2));
  }
  while (open_ > 0) {
    std::this_thread::sleep_for(kPoll);
  }
}

}  // namespace bilberrypitch::lab
