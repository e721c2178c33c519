// The store over the published JSON gateway of etcd v3.
#include "transport/store_client.h"

#include <google/protobuf/util/json_util.h>

#include <atomic>
#include <future>

#include "schema/store.pb.h"
#include "transport/http_client.h"

namespace bilberrypitch {
namespace {

namespace pb = google::protobuf;
namespace wire = schema::store;

constexpr Millis kWatchQuiet{15 * 1000};
constexpr Millis kWatchWhole{3600 * 1000};

std::string ToJson(const pb::Message& message) {
  pb::util::JsonPrintOptions options;
  options.preserve_proto_field_names = true;
  std::string out;
  (void)pb::util::MessageToJsonString(message, &out, options);
  return out;
}

bool FromJson(const std::string& text, pb::Message* message) {
  pb::util::JsonParseOptions options;
  options.ignore_unknown_fields = true;
  return pb::util::JsonStringToMessage(text, message, options).ok();
}

std::string PrefixEnd(std::string prefix) {
  while (!prefix.empty() && static_cast<unsigned char>(prefix.back()) == 0xff) {
    prefix.pop_back();
  }
  if (!prefix.empty()) {
    prefix.back() = static_cast<char>(prefix.back() + 1);
  }
  return prefix;
}

StoreReadResult ToReadResult(const wire::RangeResponse& response) {
  StoreReadResult result;
  result.status = StoreStatus::kOk;
  result.revision = response.header().revision();
  for (const wire::KeyValue& it : response.kvs()) {
    result.entries.push_back({it.key(), it.value(), it.mod_revision()});
  }
  return result;
}

wire::TxnRequest ToWire(const StoreTransaction& transaction) {
  wire::TxnRequest request;
  for (const StoreCondition& it : transaction.conditions) {
    wire::Compare* compare = request.add_compare();
    compare->set_result(wire::Compare::EQUAL);
    compare->set_key(it.key);
    if (it.mod_revision == 0) {
      compare->set_target(wire::Compare::CREATE);
      compare->set_create_revision(0);
    } else {
      compare->set_target(wire::Compare::MOD);
      compare->set_mod_revision(it.mod_revision);
    }
  }
  for (const StoreWrite& it : transaction.writes) {
    wire::RequestOp* op = request.add_success();
    if (it.remove) {
      op->mutable_request_delete_range()->set_key(it.key);
    } else {
      wire::PutRequest* put = op->mutable_request_put();
      put->set_key(it.key);
      put->set_value(it.value);
      put->set_lease(it.lease);
    }
  }
  return request;
}

class EtcdStoreClient : public StoreClient {
 public:
  EtcdStoreClient(HttpClient* client, std::string address, Millis deadline)
      : client_(client), address_(std::move(address)), deadline_(deadline) {}

  void ReadPrefix(const std::string& prefix, ReadDone done) override {
    wire::RangeRequest request;
    request.set_key(prefix);
    request.set_range_end(PrefixEnd(prefix));
    SendRange(request, std::move(done));
  }

  void Read(const std::string& key, ReadDone done) override {
    wire::RangeRequest request;
    request.set_key(key);
    SendRange(request, std::move(done));
  }

  void ReadRevision(const std::string& key, ReadDone done) override {
    wire::RangeRequest request;
    request.set_key(key);
    request.set_keys_only(true);
    SendRange(request, std::move(done));
  }

  void Commit(const StoreTransaction& transaction, WriteDone done) override {
    ++writes_;
    HttpCall call = MakeCall("/v3/kv/txn", ToWire(transaction));
    // A transaction sent twice could report a conflict with itself.
    call.own_connection = true;
    call.on_done = [this, done = std::move(done)](CallOutcome outcome) {
      done(CommitStatus(outcome));
    };
    client_->Start(std::move(call));
  }

  void GrantLease(Millis time_to_live, LeaseDone done) override {
    ++leases_;
    wire::LeaseGrantRequest request;
    request.set_ttl((time_to_live.count() + 999) / 1000);
    HttpCall call = MakeCall("/v3/lease/grant", request);
    call.on_done = [this, done = std::move(done)](CallOutcome outcome) {
      wire::LeaseGrantResponse response;
      if (!Answered(outcome) || !FromJson(outcome.body, &response)) {
        ++failures_;
        done(StoreStatus::kUnavailable, 0);
        return;
      }
      done(StoreStatus::kOk, response.id());
    };
    client_->Start(std::move(call));
  }

  void Watch(const std::string& key, std::function<void()> changed,
             std::function<void()> ended) override {
    ++watches_;
    wire::WatchRequest request;
    request.mutable_create_request()->set_key(key);
    HttpCall call = MakeCall("/v3/watch", request);
    call.own_connection = true;
    call.deadlines.progress = kWatchQuiet;
    call.deadlines.whole = kWatchWhole;
    call.on_data = [changed = std::move(changed)](std::string_view bytes) {
      // Each message is one line; what changed is then read by Read.
      if (bytes.find("\"events\"") != std::string_view::npos) {
        changed();
      }
      return true;
    };
    call.on_done = [ended = std::move(ended)](CallOutcome) { ended(); };
    client_->Start(std::move(call));
  }

  StoreCallCounters counters() const override {
    return {reads_, writes_, leases_, watches_, failures_};
  }

 private:
  HttpCall MakeCall(const char* target, const pb::Message& request) const {
    HttpCall call;
    call.method = "POST";
    call.address = address_;
    call.target = target;
    call.headers.Add("Content-Type", "application/json");
    call.body = ToJson(request);
    call.deadlines.connect = deadline_;
    call.deadlines.first_byte = deadline_;
    call.deadlines.progress = deadline_;
    call.deadlines.whole = deadline_ * 2;
    return call;
  }

  static bool Answered(const CallOutcome& outcome) {
    return outcome.result == CallResult::kComplete && outcome.status == 200;
  }

  void SendRange(const wire::RangeRequest& request, ReadDone done) {
    ++reads_;
    HttpCall call = MakeCall("/v3/kv/range", request);
    call.on_done = [this, done = std::move(done)](CallOutcome outcome) {
      wire::RangeResponse response;
      if (!Answered(outcome) || !FromJson(outcome.body, &response)) {
        ++failures_;
        done({});
        return;
      }
      done(ToReadResult(response));
    };
    client_->Start(std::move(call));
  }

  StoreStatus CommitStatus(const CallOutcome& outcome) {
    if (SurelyNotSent(outcome.result)) {
      ++failures_;
      return StoreStatus::kUnavailable;
    }
    wire::TxnResponse response;
    if (!Answered(outcome) || !FromJson(outcome.body, &response)) {
      ++failures_;
      return StoreStatus::kUnknown;
    }
    return response.succeeded() ? StoreStatus::kOk : StoreStatus::kConflict;
  }

  HttpClient* client_;
  const std::string address_;
  const Millis deadline_;
  std::atomic<uint64_t> reads_ = 0;
  std::atomic<uint64_t> writes_ = 0;
  std::atomic<uint64_t> leases_ = 0;
  std::atomic<uint64_t> watches_ = 0;
  std::atomic<uint64_t> failures_ = 0;
};

}  // namespace

StoreReadResult StoreClient::ReadNow(const std::string& key) {
  std::promise<StoreReadResult> promise;
  Read(key,
       [&](StoreReadResult result) { promise.set_value(std::move(result)); });
  return promise.get_future().get();
}

StoreReadResult StoreClient::ReadPrefixNow(const std::string& prefix) {
  std::promise<StoreReadResult> promise;
  ReadPrefix(prefix, [&](StoreReadResult result) {
    promise.set_value(std::move(result));
  });
  return promise.get_future().get();
}

StoreStatus StoreClient::CommitNow(const StoreTransaction& transaction) {
  std::promise<StoreStatus> promise;
  Commit(transaction, [&](StoreStatus status) { promise.set_value(status); });
  return promise.get_future().get();
}

std::unique_ptr<StoreClient> MakeEtcdStoreClient(HttpClient* client,
                                                 std::string address,
                                                 Millis deadline) {
  return std::make_unique<EtcdStoreClient>(client, std::move(address),
                                           deadline);
}

}  // namespace bilberrypitch
