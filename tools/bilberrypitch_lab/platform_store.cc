// The platform store's stand-in.
#include "platform_store.h"

#include <google/protobuf/util/json_util.h>

#include <algorithm>
#include <atomic>
#include <chrono>

#include "schema/store.pb.h"

namespace bilberrypitch::lab {
namespace {

namespace pb = google::protobuf;
namespace wire = schema::store;

constexpr std::chrono::milliseconds kTick{100};
constexpr size_t kLargestUnanswered = 1000;

int64_t NowMs() {
  auto now = std::chrono::steady_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

template <typename Message>
Message Parse(const std::string& text) {
  Message message;
  pb::util::JsonParseOptions options;
  options.ignore_unknown_fields = true;
  (void)pb::util::JsonStringToMessage(text, &message, options);
  return message;
}

HttpResponse Answer(const pb::Message& message) {
  HttpResponse response;
  response.headers.Add("Content-Type", "application/json");
  pb::util::JsonPrintOptions options;
  options.preserve_proto_field_names = true;
  (void)pb::util::MessageToJsonString(message, &response.body, options);
  return response;
}

}  // namespace

PlatformStore::PlatformStore(uint16_t port) {
  thread_ = std::thread([this] { Loop(); });
  server_ = std::make_unique<HttpServer>(
      LabServerOptions(port),
      [this](HttpRequest request, std::shared_ptr<Responder> responder) {
        Handle(std::move(request), std::move(responder));
      });
}

PlatformStore::~PlatformStore() {
  server_->Stop();
  {
    std::lock_guard lock(lock_);
    stopping_ = true;
  }
  thread_.join();
}

void PlatformStore::Handle(HttpRequest request,
                           std::shared_ptr<Responder> responder) {
  if (HandleLab(request, *responder)) {
    return;
  }
  int64_t delay = 0;
  {
    std::lock_guard lock(lock_);
    if (out_) {
      unanswered_.push_back(std::move(responder));
      if (unanswered_.size() > kLargestUnanswered) {
        unanswered_.erase(unanswered_.begin());
      }
      return;
    }
    delay = delay_ms_;
  }
  if (delay > 0) {
    std::this_thread::sleep_for(std::chrono::milliseconds(delay));
  }
  std::lock_guard lock(lock_);
  Serve(request, std::move(responder));
}

bool PlatformStore::HandleLab(const HttpRequest& request,
                              Responder& responder) {
  std::lock_guard lock(lock_);
  if (request.path == "/lab/faults") {
    json::object object = ParseObject(request.body);
    out_ = BoolOr(object, "out", false);
    delay_ms_ = IntOr(object, "delay_ms", 0);
    lose_writes_ = IntOr(object, "lose_writes", 0);
    responder.Send(JsonResponse(200, json::object()));
    return true;
  }
  if (request.path == "/lab/facts") {
    responder.Send(JsonResponse(200, {{"reads", counts_.reads},
                                      {"writes", counts_.writes},
                                      {"leases", counts_.leases},
                                      {"watches", counts_.watches},
                                      {"entries", entries_.size()}}));
    return true;
  }
  return false;
}

void PlatformStore::Serve(const HttpRequest& request,
                          std::shared_ptr<Responder> responder) {
  if (request.path == "/v3/kv/range") {
    ++counts_.reads;
    wire::RangeResponse response;
    Range(Parse<wire::RangeRequest>(request.body), &response);
    responder->Send(Answer(response));
  } else if (request.path == "/v3/kv/txn") {
    ++counts_.writes;
    wire::TxnResponse response;
    Txn(Parse<wire::TxnRequest>(request.body), &response);
    if (lose_writes_ > 0) {
      --lose_writes_;
      responder->Send(JsonResponse(504, json::object()));
      return;
    }
    responder->Send(Answer(response));
  } else if (request.path == "/v3/kv/put") {
    ++counts_.writes;
    Put(Parse<wire::PutRequest>(request.body));
    wire::PutResponse response;
    response.mutable_header()->set_revision(revision_);
    responder->Send(Answer(response));
  } else if (request.path == "/v3/lease/grant") {
    ++counts_.leases;
    auto grant = Parse<wire::LeaseGrantRequest>(request.body);
    wire::LeaseGrantResponse response;
    response.set_id(next_lease_++);
    response.set_ttl(grant.ttl());
    lease_lengths_ms_[response.id()] = grant.ttl() * 1000;
    lease_ends_ms_[response.id()] = NowMs() + grant.ttl() * 1000;
    responder->Send(Answer(response));
  } else if (request.path == "/v3/lease/keepalive") {
    ++counts_.leases;
    auto keep = Parse<wire::LeaseKeepAliveRequest>(request.body);
    auto it = lease_ends_ms_.find(keep.id());
    if (it != lease_ends_ms_.end()) {
      it->second = NowMs() + lease_lengths_ms_[keep.id()];
    }
    responder->Send(JsonResponse(200, {{"result", json::object()}}));
  } else if (request.path == "/v3/watch") {
    ++counts_.watches;
    auto watch = Parse<wire::WatchRequest>(request.body);
    responder->StartStream(200, {});
    responder->WriteChunk("{\"result\":{\"created\":true}}\n", {});
    watchers_.push_back({watch.create_request().key(), std::move(responder),
                         std::make_shared<std::atomic<bool>>(false)});
  } else {
    responder->Send(JsonResponse(404, json::object()));
  }
}

void PlatformStore::Range(const wire::RangeRequest& request,
                          wire::RangeResponse* response) {
  response->mutable_header()->set_revision(revision_);
  auto add = [&](const std::string& key, const Entry& entry) {
    wire::KeyValue* it = response->add_kvs();
    it->set_key(key);
    if (!request.keys_only()) it->set_value(entry.value);
    it->set_create_revision(entry.create_revision);
    it->set_mod_revision(entry.mod_revision);
    it->set_lease(entry.lease);
  };
  if (request.range_end().empty()) {
    auto it = entries_.find(request.key());
    if (it != entries_.end()) add(it->first, it->second);
  } else {
    auto end = entries_.lower_bound(request.range_end());
    for (auto it = entries_.lower_bound(request.key()); it != end; ++it) {
      add(it->first, it->second);
    }
  }
  response->set_count(response->kvs_size());
}

bool PlatformStore::Holds(const wire::Compare& compare) const {
  auto it = entries_.find(compare.key());
  if (compare.target() == wire::Compare::CREATE) {
    int64_t created = it == entries_.end() ? 0 : it->second.create_revision;
    return created == compare.create_revision();
  }
  if (compare.target() == wire::Compare::MOD) {
    int64_t modified = it == entries_.end() ? 0 : it->second.mod_revision;
    return modified == compare.mod_revision();
  }
  return false;
}

void PlatformStore::Txn(const wire::TxnRequest& request,
                        wire::TxnResponse* response) {
  bool holds = std::all_of(request.compare().begin(), request.compare().end(),
                           [&](const auto& it) { return Holds(it); });
  response->set_succeeded(holds);
  for (const auto& op : holds ? request.success() : request.failure()) {
    Apply(op, response->add_responses());
  }
  response->mutable_header()->set_revision(revision_);
}

void PlatformStore::Apply(const wire::RequestOp& op,
                          wire::ResponseOp* response) {
  if (op.has_request_put()) {
    Put(op.request_put());
    response->mutable_response_put();
  } else if (op.has_request_delete_range()) {
    int64_t n = Delete(op.request_delete_range());
    response->mutable_response_delete_range()->set_deleted(n);
  } else if (op.has_request_range()) {
    Range(op.request_range(), response->mutable_response_range());
  }
}

void PlatformStore::Put(const wire::PutRequest& request) {
  ++revision_;
  Entry& entry = entries_[request.key()];
  entry.value = request.value();
  entry.mod_revision = revision_;
  entry.lease = request.lease();
  if (entry.create_revision == 0) {
    entry.create_revision = revision_;
  }
  Notify(request.key());
}

int64_t PlatformStore::Delete(const wire::DeleteRangeRequest& request) {
  ++revision_;
  return static_cast<int64_t>(entries_.erase(request.key()));
}

void PlatformStore::Notify(const std::string& key) {
  for (Watcher& it : watchers_) {
    if (it.key == key) {
      it.responder->WriteChunk("{\"result\":{\"events\":[{}]}}\n",
                               [gone = it.gone](bool ok) { gone->store(!ok); });
    }
  }
}

void PlatformStore::ExpireLeases() {
  int64_t now = NowMs();
  for (auto it = lease_ends_ms_.begin(); it != lease_ends_ms_.end();) {
    if (it->second > now) {
      ++it;
      continue;
    }
    std::erase_if(entries_, [&](const auto& entry) {
      return entry.second.lease == it->first;
    });
    it = lease_ends_ms_.erase(it);
  }
}

void PlatformStore::Loop() {
  while (true) {
    std::this_thread::sleep_for(kTick);
    std::lock_guard lock(lock_);
    if (stopping_) {
      watchers_.clear();
      return;
    }
    ExpireLeases();
    std::erase_if(watchers_, [](const Watcher& it) { return it.gone->load(); });
  }
}

}  // namespace bilberrypitch::lab
