// The platform store's stand-in.
#include "store_server.h"

#include <algorithm>

namespace bilberrypitch::lab {
namespace {

constexpr Millis kTick{50};
constexpr size_t kHistoryItems = 4096;
constexpr size_t kPageItems = 500;

// The value of `name` in a query; the names and values of these calls hold
// few escapes.
std::string QueryValue(const std::string& query, const std::string& name) {
  std::string text = "&" + query;
  size_t at = text.find("&" + name + "=");
  if (at == std::string::npos) {
    return "";
  }
  at += name.size() + 2;
  std::string value = text.substr(at, text.find('&', at) - at);
  std::string plain;
  for (size_t i = 0; i < value.size(); ++i) {
    if (value[i] == '%' && i + 2 < value.size()) {
      plain +=
          static_cast<char>(std::stoi(value.substr(i + 1, 2), nullptr, 16));
      i += 2;
    } else {
      plain += value[i];
    }
  }
  return plain;
}

int64_t QueryNumber(const std::string& query, const std::string& name) {
  std::string text = QueryValue(query, name);
  return text.empty() ? 0 : std::stoll(text);
}

}  // namespace

StoreServer::StoreServer(EventLoop* loop, uint16_t port)
    : loop_(loop), tick_(loop) {
  HttpServerOptions options = LabServerOptions(port);
  options.loop = loop;
  server_ = std::make_unique<HttpServer>(
      options,
      [this](HttpRequest request, std::shared_ptr<Responder> responder) {
        Handle(std::move(request), std::move(responder));
      });
  Tick();
}

StoreServer::~StoreServer() { server_->Stop(); }

void StoreServer::Handle(HttpRequest request,
                         std::shared_ptr<Responder> responder) {
  if (HandleLab(request, responder.get())) {
    return;
  }
  if (faults_.silent) {
    unanswered_.push_back(std::move(responder));
    return;
  }
  if (faults_.refuses) {
    responder->Send(JsonResponse(503, json::object()));
    return;
  }
  Serve(request, std::move(responder));
}

bool StoreServer::HandleLab(const HttpRequest& request, Responder* responder) {
  json::object body = ParseObject(request.body);
  std::string key = StringOr(body, "key", "");
  if (request.path == "/lab/write") {
    int64_t time_to_live = IntOr(body, "ttl_ms", 0);
    int64_t lease = 0;
    if (time_to_live > 0) {
      auto it = items_.find(key);
      lease = it == items_.end() ? 0 : it->second.lease;
      if (leases_.count(lease) == 0) {
        lease = next_lease_++;
      }
      leases_[lease] = {Millis(time_to_live),
                        EventLoop::Now() + Millis(time_to_live)};
    }
    Put(key, StringOr(body, "value", ""), lease);
  } else if (request.path == "/lab/remove") {
    Remove(key);
  } else if (request.path == "/lab/faults") {
    SetFaults(body);
  } else if (request.path != "/lab/facts") {
    return false;
  }
  responder->Send(JsonResponse(200, FactsJson()));
  return true;
}

void StoreServer::SetFaults(const json::object& object) {
  if (BoolOr(object, "drop_history", false)) {
    history_.clear();
    oldest_ = revision_;
  }
  faults_.silent = BoolOr(object, "silent", false);
  faults_.refuses = BoolOr(object, "refuses", false);
  faults_.delay = Millis(IntOr(object, "delay_ms", 0));
  faults_.lose_writes = IntOr(object, "lose_writes", 0);
}

json::object StoreServer::FactsJson() const {
  json::array keys;
  for (const auto& [key, it] : items_) {
    keys.push_back(json::value(key));
  }
  return {{"reads", counts_.reads},
          {"writes", counts_.writes},
          {"watches", counts_.watches},
          {"lease_calls", counts_.lease_calls},
          {"keys", std::move(keys)}};
}

void StoreServer::Serve(const HttpRequest& request,
                        std::shared_ptr<Responder> responder) {
  auto id_after = [&](const std::string& prefix) {
    return std::stoll("0" + request.path.substr(prefix.size()));
  };
  if (request.path == "/kv-watch") {
    ++counts_.watches;
    Watch(request, std::move(responder));
  } else if (request.path == "/kv-key") {
    ++counts_.reads;
    Answer(std::move(responder), ReadKey(request));
  } else if (request.path == "/kv-range") {
    ++counts_.reads;
    Answer(std::move(responder), ReadPage(request));
  } else if (request.path == "/kv-txn") {
    ++counts_.writes;
    HttpResponse response = Commit(request);
    if (faults_.lose_writes > 0) {
      --faults_.lose_writes;
      unanswered_.push_back(std::move(responder));
      return;
    }
    Answer(std::move(responder), std::move(response));
  } else if (request.path == "/kv-lease") {
    ++counts_.lease_calls;
    Answer(std::move(responder), GrantLease(request));
  } else if (request.path.starts_with("/kv-keep/")) {
    ++counts_.lease_calls;
    Answer(std::move(responder), RenewLease(id_after("/kv-keep/")));
  } else if (request.path.starts_with("/kv-lease-end/")) {
    ++counts_.lease_calls;
    Answer(std::move(responder), EndLease(id_after("/kv-lease-end/")));
  } else {
    Answer(std::move(responder), JsonResponse(400, json::object()));
  }
}

void StoreServer::Answer(std::shared_ptr<Responder> responder,
                         HttpResponse response) {
  if (faults_.delay == Millis(0)) {
    responder->Send(std::move(response));
    return;
  }
  std::erase_if(delays_, [](const auto& it) { return !it->pending(); });
  delays_.push_back(std::make_unique<Timer>(loop_));
  delays_.back()->Start(faults_.delay, [responder, response] {
    HttpResponse copy = response;
    responder->Send(std::move(copy));
  });
}

namespace {

json::object ItemJson(const std::string& key, const std::string& value,
                      int64_t revision, int64_t created, int64_t lease,
                      bool deleted) {
  if (deleted) {
    return {{"key", key}, {"rev", revision}, {"deleted", true}};
  }
  return {{"key", key},
          {"value", value},
          {"rev", revision},
          {"created", created},
          {"lease", lease}};
}

}  // namespace

HttpResponse StoreServer::ReadKey(const HttpRequest& request) const {
  auto it = items_.find(QueryValue(request.query, "key"));
  if (it == items_.end()) {
    return JsonResponse(404, {{"at", revision_}});
  }
  const Item& item = it->second;
  json::object body = ItemJson(item.key, item.value, item.revision,
                               item.created, item.lease, false);
  body["at"] = revision_;
  return JsonResponse(200, body);
}

HttpResponse StoreServer::ReadPage(const HttpRequest& request) const {
  std::string prefix = QueryValue(request.query, "prefix");
  std::string after = QueryValue(request.query, "after");
  json::array items;
  bool more = false;
  for (const auto& [key, it] : items_) {
    if (!key.starts_with(prefix) || (!after.empty() && key <= after)) {
      continue;
    }
    if (items.size() == kPageItems) {
      more = true;
      break;
    }
    items.push_back(
        ItemJson(key, it.value, it.revision, it.created, it.lease, false));
  }
  return JsonResponse(
      200, {{"items", std::move(items)}, {"hasMore", more}, {"at", revision_}});
}

HttpResponse StoreServer::Commit(const HttpRequest& request) {
  json::object body = ParseObject(request.body);
  auto list = [&](const char* name) {
    const json::value* it = body.if_contains(name);
    return it != nullptr && it->is_array() ? it->get_array() : json::array();
  };
  json::array found;
  bool holds = true;
  for (const json::value& it : list("expected")) {
    std::string key = StringOr(it.as_object(), "key", "");
    auto item = items_.find(key);
    int64_t stands = item == items_.end() ? 0 : item->second.revision;
    holds = holds && stands == IntOr(it.as_object(), "rev", -1);
    if (item != items_.end()) {
      const Item& i = item->second;
      found.push_back(
          ItemJson(i.key, i.value, i.revision, i.created, i.lease, false));
    }
  }
  if (!holds) {
    return JsonResponse(412, {{"items", std::move(found)}});
  }
  for (const json::value& it : list("writes")) {
    std::string key = StringOr(it.as_object(), "key", "");
    if (key.starts_with("op/") || key.starts_with("servers/")) {
      return JsonResponse(403, json::object());
    }
    int64_t lease = IntOr(it.as_object(), "lease", 0);
    if (lease != 0 && leases_.count(lease) == 0) {
      return JsonResponse(404, json::object());
    }
  }
  for (const json::value& it : list("writes")) {
    const json::object& write = it.as_object();
    Put(StringOr(write, "key", ""), StringOr(write, "value", ""),
        IntOr(write, "lease", 0));
  }
  for (const json::value& it : list("remove")) {
    Remove(std::string(it.as_string()));
  }
  return JsonResponse(200, {{"rev", revision_}});
}

HttpResponse StoreServer::GrantLease(const HttpRequest& request) {
  Millis time_to_live(IntOr(ParseObject(request.body), "ttlMs", 0));
  int64_t id = next_lease_++;
  leases_[id] = {time_to_live, EventLoop::Now() + time_to_live};
  return JsonResponse(200, {{"lease", id}, {"ttlMs", time_to_live.count()}});
}

HttpResponse StoreServer::RenewLease(int64_t id) {
  auto it = leases_.find(id);
  if (it == leases_.end()) {
    return JsonResponse(404, json::object());
  }
  it->second.ends = EventLoop::Now() + it->second.time_to_live;
  return JsonResponse(
      200, {{"lease", id}, {"ttlMs", it->second.time_to_live.count()}});
}

HttpResponse StoreServer::EndLease(int64_t id) {
  RemoveLease(id);
  return JsonResponse(200, json::object());
}

void StoreServer::Put(const std::string& key, std::string value,
                      int64_t lease) {
  Item& it = items_[key];
  it.key = key;
  it.value = std::move(value);
  it.revision = ++revision_;
  it.created = it.created == 0 ? revision_ : it.created;
  it.lease = lease;
  Append(it);
}

void StoreServer::Remove(const std::string& key) {
  if (items_.erase(key) == 0) {
    return;
  }
  Item gone;
  gone.key = key;
  gone.revision = ++revision_;
  gone.deleted = true;
  Append(gone);
}

void StoreServer::RemoveLease(int64_t id) {
  leases_.erase(id);
  std::vector<std::string> keys;
  for (const auto& [key, it] : items_) {
    if (it.lease == id) {
      keys.push_back(key);
    }
  }
  for (const std::string& it : keys) {
    Remove(it);
  }
}

void StoreServer::Append(Item item) {
  history_.push_back(std::move(item));
  if (history_.size() > kHistoryItems) {
    oldest_ = history_.front().revision;
    history_.pop_front();
  }
  if (!faults_.silent) {
    AnswerWatchers();
  }
}

void StoreServer::Watch(const HttpRequest& request,
                        std::shared_ptr<Responder> responder) {
  Watcher it;
  it.prefix = QueryValue(request.query, "prefix");
  it.after = QueryNumber(request.query, "after");
  it.ends = EventLoop::Now() + Millis(QueryNumber(request.query, "waitMs"));
  it.responder = std::move(responder);
  if (std::optional<HttpResponse> events = EventsFor(it)) {
    Answer(it.responder, std::move(*events));
    return;
  }
  watchers_.push_back(std::move(it));
}

std::optional<HttpResponse> StoreServer::EventsFor(const Watcher& it) const {
  if (it.after < oldest_) {
    return JsonResponse(410, json::object());
  }
  json::array events;
  for (const Item& item : history_) {
    if (item.revision > it.after && item.key.starts_with(it.prefix)) {
      events.push_back(ItemJson(item.key, item.value, item.revision,
                                item.created, item.lease, item.deleted));
    }
  }
  if (events.empty()) {
    return std::nullopt;
  }
  return JsonResponse(200, {{"events", std::move(events)}, {"at", revision_}});
}

void StoreServer::AnswerWatchers() {
  for (auto it = watchers_.begin(); it != watchers_.end();) {
    std::optional<HttpResponse> events = EventsFor(*it);
    if (!events && EventLoop::Now() >= it->ends) {
      events =
          JsonResponse(200, {{"events", json::array()}, {"at", revision_}});
    }
    if (!events) {
      ++it;
      continue;
    }
    Answer(it->responder, std::move(*events));
    it = watchers_.erase(it);
  }
}

void StoreServer::Tick() {
  tick_.Start(kTick, [this] { Tick(); });
  if (faults_.silent) {
    // Leases pause while the store is away.
    for (auto& [id, it] : leases_) {
      it.ends = it.ends + kTick;
    }
    return;
  }
  std::vector<int64_t> ended;
  for (const auto& [id, it] : leases_) {
    if (it.ends <= EventLoop::Now()) {
      ended.push_back(id);
    }
  }
  for (int64_t id : ended) {
    RemoveLease(id);
  }
  AnswerWatchers();
}

}  // namespace bilberrypitch::lab
