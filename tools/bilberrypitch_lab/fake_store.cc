// Implements the fake of the platform's store.
#include "fake_store.h"

#include <algorithm>

namespace bilberrypitch::lab {
namespace {

constexpr Millis kTickInterval{50};
constexpr size_t kMaxHistoryItems = 4096;
constexpr size_t kMaxPageItems = 500;

// Returns the decoded value of `name` in a query, or an empty string. Only
// handles percent escapes, which is enough for the calls of the gateway.
std::string QueryValue(const std::string& query, const std::string& name) {
  std::string parameters = "&" + query;
  size_t position = parameters.find("&" + name + "=");
  if (position == std::string::npos) {
    return "";
  }
  position += name.size() + 2;
  std::string value =
      parameters.substr(position, parameters.find('&', position) - position);
  std::string decoded;
  for (size_t i = 0; i < value.size(); ++i) {
    if (value[i] == '%' && i + 2 < value.size()) {
      decoded +=
          static_cast<char>(std::stoi(value.substr(i + 1, 2), nullptr, 16));
      i += 2;
    } else {
      decoded += value[i];
    }
  }
  return decoded;
}

int64_t QueryNumber(const std::string& query, const std::string& name) {
  std::string text = QueryValue(query, name);
  return text.empty() ? 0 : std::stoll(text);
}

}  // namespace

FakeStore::FakeStore(EventLoop* loop, uint16_t port)
    : loop_(loop), tick_timer_(loop) {
  HttpServerOptions options = LabServerOptions(port);
  options.loop = loop;
  server_ = std::make_unique<HttpServer>(
      options,
      [this](HttpRequest request, std::shared_ptr<Responder> responder) {
        HandleRequest(std::move(request), std::move(responder));
      });
  Tick();
}

FakeStore::~FakeStore() { server_->Stop(); }

void FakeStore::HandleRequest(HttpRequest request,
                              std::shared_ptr<Responder> responder) {
  if (HandleControl(request, responder.get())) {
    return;
  }
  if (faults_.silent) {
    unanswered_.push_back(std::move(responder));
    return;
  }
  if (faults_.refuses) {
    SendResponse(std::move(responder), JsonResponse(503, json::object()));
    return;
  }
  HandleStoreCall(request, std::move(responder));
}

bool FakeStore::HandleControl(const HttpRequest& request,
                              Responder* responder) {
  json::object body = ParseJsonObject(request.body);
  std::string key = StringOr(body, "key", "");
  if (request.path == "/lab/write") {
    int64_t time_to_live = IntOr(body, "ttl_ms", 0);
    int64_t lease = 0;
    if (time_to_live > 0) {
      auto item = data_.items.find(key);
      lease = item == data_.items.end() ? 0 : item->second.lease;
      if (data_.leases.count(lease) == 0) {
        lease = data_.next_lease++;
      }
      data_.leases[lease] = {Millis(time_to_live),
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
  responder->Send(JsonResponse(200, StatsJson()));
  return true;
}

void FakeStore::SetFaults(const json::object& object) {
  if (BoolOr(object, "drop_history", false)) {
    data_.history.clear();
    data_.compacted_revision = data_.revision;
  }
  if (BoolOr(object, "take_copy", false)) {
    copy_ = data_;
  }
  if (BoolOr(object, "restore_copy", false)) {
    RestoreCopy();
  }
  faults_.silent = BoolOr(object, "silent", false);
  faults_.refuses = BoolOr(object, "refuses", false);
  faults_.response_delay = Millis(IntOr(object, "delay_ms", 0));
  faults_.lose_writes = IntOr(object, "lose_writes", 0);
}

void FakeStore::RestoreCopy() {
  data_ = copy_;
  ++era_;
  for (auto& [id, lease] : data_.leases) {
    lease.expires_at = EventLoop::Now() + lease.time_to_live;
  }
}

json::object FakeStore::StatsJson() const {
  json::array keys;
  for (const auto& [key, item] : data_.items) {
    keys.push_back(json::value(key));
  }
  return {{"reads", counts_.reads},
          {"writes", counts_.writes},
          {"watches", counts_.watches},
          {"lease_calls", counts_.lease_calls},
          {"keys", std::move(keys)}};
}

void FakeStore::HandleStoreCall(const HttpRequest& request,
                                std::shared_ptr<Responder> responder) {
  auto id_after = [&](const std::string& prefix) {
    return std::stoll("0" + request.path.substr(prefix.size()));
  };
  if (request.path == "/kv-watch") {
    ++counts_.watches;
    Watch(request, std::move(responder));
  } else if (request.path == "/kv-key") {
    ++counts_.reads;
    SendResponse(std::move(responder), ReadKey(request));
  } else if (request.path == "/kv-range") {
    ++counts_.reads;
    SendResponse(std::move(responder), ReadPage(request));
  } else if (request.path == "/kv-txn") {
    ++counts_.writes;
    HttpResponse response = CommitTransaction(request);
    if (faults_.lose_writes > 0) {
      --faults_.lose_writes;
      unanswered_.push_back(std::move(responder));
      return;
    }
    SendResponse(std::move(responder), std::move(response));
  } else if (request.path == "/kv-lease") {
    ++counts_.lease_calls;
    SendResponse(std::move(responder), GrantLease(request));
  } else if (request.path.starts_with("/kv-keep/")) {
    ++counts_.lease_calls;
    SendResponse(std::move(responder), RenewLease(id_after("/kv-keep/")));
  } else if (request.path.starts_with("/kv-lease-end/")) {
    ++counts_.lease_calls;
    SendResponse(std::move(responder), RevokeLease(id_after("/kv-lease-end/")));
  } else {
    SendResponse(std::move(responder), JsonResponse(400, json::object()));
  }
}

void FakeStore::SendResponse(std::shared_ptr<Responder> responder,
                             HttpResponse response) {
  response.headers.Add("Store-Era", std::to_string(era_));
  if (faults_.response_delay == Millis(0)) {
    responder->Send(std::move(response));
    return;
  }
  std::erase_if(delay_timers_,
                [](const auto& timer) { return !timer->pending(); });
  delay_timers_.push_back(std::make_unique<Timer>(loop_));
  delay_timers_.back()->Start(faults_.response_delay, [responder, response] {
    HttpResponse response_copy = response;
    responder->Send(std::move(response_copy));
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

HttpResponse FakeStore::ReadKey(const HttpRequest& request) const {
  auto it = data_.items.find(QueryValue(request.query, "key"));
  if (it == data_.items.end()) {
    return JsonResponse(404, {{"at", data_.revision}});
  }
  const Item& item = it->second;
  json::object body = ItemJson(item.key, item.value, item.revision,
                               item.created, item.lease, false);
  body["at"] = data_.revision;
  return JsonResponse(200, body);
}

HttpResponse FakeStore::ReadPage(const HttpRequest& request) const {
  std::string prefix = QueryValue(request.query, "prefix");
  std::string after_key = QueryValue(request.query, "after");
  json::array items;
  bool has_more = false;
  for (const auto& [key, item] : data_.items) {
    if (!key.starts_with(prefix) || (!after_key.empty() && key <= after_key)) {
      continue;
    }
    if (items.size() == kMaxPageItems) {
      has_more = true;
      break;
    }
    items.push_back(ItemJson(key, item.value, item.revision, item.created,
                             item.lease, false));
  }
  return JsonResponse(200, {{"items", std::move(items)},
                            {"hasMore", has_more},
                            {"at", data_.revision}});
}

HttpResponse FakeStore::CommitTransaction(const HttpRequest& request) {
  json::object body = ParseJsonObject(request.body);
  auto get_array = [&](const char* name) {
    const json::value* member = body.if_contains(name);
    return member != nullptr && member->is_array() ? member->get_array()
                                                   : json::array();
  };
  json::array current_items;
  bool conditions_hold = true;
  for (const json::value& condition : get_array("expected")) {
    std::string key = StringOr(condition.as_object(), "key", "");
    auto item = data_.items.find(key);
    int64_t current_revision =
        item == data_.items.end() ? 0 : item->second.revision;
    conditions_hold =
        conditions_hold &&
        current_revision == IntOr(condition.as_object(), "rev", -1);
    if (item != data_.items.end()) {
      const Item& current = item->second;
      current_items.push_back(ItemJson(current.key, current.value,
                                       current.revision, current.created,
                                       current.lease, false));
    }
  }
  if (!conditions_hold) {
    return JsonResponse(412, {{"items", std::move(current_items)}});
  }
  for (const json::value& write : get_array("writes")) {
    std::string key = StringOr(write.as_object(), "key", "");
    if (key.starts_with("op/") || key.starts_with("servers/")) {
      return JsonResponse(403, json::object());
    }
    int64_t lease = IntOr(write.as_object(), "lease", 0);
    if (lease != 0 && data_.leases.count(lease) == 0) {
      return JsonResponse(404, json::object());
    }
  }
  for (const json::value& write_value : get_array("writes")) {
    const json::object& write = write_value.as_object();
    Put(StringOr(write, "key", ""), StringOr(write, "value", ""),
        IntOr(write, "lease", 0));
  }
  for (const json::value& key : get_array("remove")) {
    Remove(std::string(key.as_string()));
  }
  return JsonResponse(200, {{"rev", data_.revision}});
}

HttpResponse FakeStore::GrantLease(const HttpRequest& request) {
  Millis time_to_live(IntOr(ParseJsonObject(request.body), "ttlMs", 0));
  int64_t id = data_.next_lease++;
  data_.leases[id] = {time_to_live, EventLoop::Now() + time_to_live};
  return JsonResponse(200, {{"lease", id}, {"ttlMs", time_to_live.count()}});
}

HttpResponse FakeStore::RenewLease(int64_t id) {
  auto lease = data_.leases.find(id);
  if (lease == data_.leases.end()) {
    return JsonResponse(404, json::object());
  }
  lease->second.expires_at = EventLoop::Now() + lease->second.time_to_live;
  return JsonResponse(
      200, {{"lease", id}, {"ttlMs", lease->second.time_to_live.count()}});
}

HttpResponse FakeStore::RevokeLease(int64_t id) {
  RemoveLease(id);
  return JsonResponse(200, json::object());
}

void FakeStore::Put(const std::string& key, std::string value, int64_t lease) {
  Item& item = data_.items[key];
  item.key = key;
  item.value = std::move(value);
  item.revision = ++data_.revision;
  item.created = item.created == 0 ? data_.revision : item.created;
  item.lease = lease;
  AppendToHistory(item);
}

void FakeStore::Remove(const std::string& key) {
  if (data_.items.erase(key) == 0) {
    return;
  }
  Item tombstone;
  tombstone.key = key;
  tombstone.revision = ++data_.revision;
  tombstone.deleted = true;
  AppendToHistory(tombstone);
}

void FakeStore::RemoveLease(int64_t id) {
  data_.leases.erase(id);
  std::vector<std::string> keys;
  for (const auto& [key, item] : data_.items) {
    if (item.lease == id) {
      keys.push_back(key);
    }
  }
  for (const std::string& key : keys) {
    Remove(key);
  }
}

void FakeStore::AppendToHistory(Item item) {
  data_.history.push_back(std::move(item));
  if (data_.history.size() > kMaxHistoryItems) {
    data_.compacted_revision = data_.history.front().revision;
    data_.history.pop_front();
  }
  if (!faults_.silent) {
    NotifyWatchers();
  }
}

void FakeStore::Watch(const HttpRequest& request,
                      std::shared_ptr<Responder> responder) {
  Watcher watcher;
  watcher.prefix = QueryValue(request.query, "prefix");
  watcher.after_revision = QueryNumber(request.query, "after");
  watcher.expires_at =
      EventLoop::Now() + Millis(QueryNumber(request.query, "waitMs"));
  watcher.responder = std::move(responder);
  if (std::optional<HttpResponse> events = EventsFor(watcher)) {
    SendResponse(watcher.responder, std::move(*events));
    return;
  }
  watchers_.push_back(std::move(watcher));
}

std::optional<HttpResponse> FakeStore::EventsFor(const Watcher& watcher) const {
  if (watcher.after_revision < data_.compacted_revision ||
      watcher.after_revision > data_.revision) {
    return JsonResponse(410, json::object());
  }
  json::array events;
  for (const Item& item : data_.history) {
    if (item.revision > watcher.after_revision &&
        item.key.starts_with(watcher.prefix)) {
      events.push_back(ItemJson(item.key, item.value, item.revision,
                                item.created, item.lease, item.deleted));
    }
  }
  if (events.empty()) {
    return std::nullopt;
  }
  return JsonResponse(200,
                      {{"events", std::move(events)}, {"at", data_.revision}});
}

void FakeStore::NotifyWatchers() {
  for (auto watcher = watchers_.begin(); watcher != watchers_.end();) {
    std::optional<HttpResponse> events = EventsFor(*watcher);
    if (!events && EventLoop::Now() >= watcher->expires_at) {
      events = JsonResponse(
          200, {{"events", json::array()}, {"at", data_.revision}});
    }
    if (!events) {
      ++watcher;
      continue;
    }
    SendResponse(watcher->responder, std::move(*events));
    watcher = watchers_.erase(watcher);
  }
}

void FakeStore::Tick() {
  tick_timer_.Start(kTickInterval, [this] { Tick(); });
  if (faults_.silent) {
    // Leases pause while the store is silent.
    for (auto& [id, lease] : data_.leases) {
      lease.expires_at = lease.expires_at + kTickInterval;
    }
    return;
  }
  std::vector<int64_t> expired;
  for (const auto& [id, lease] : data_.leases) {
    if (lease.expires_at <= EventLoop::Now()) {
      expired.push_back(id);
    }
  }
  for (int64_t id : expired) {
    RemoveLease(id);
  }
  NotifyWatchers();
}

}  // namespace bilberrypitch::lab
