#include "storeserver.h"

#include <absl/strings/escaping.h>
#include <absl/strings/numbers.h>

namespace oriolebay::testing_system {

using nlohmann::json;
using platform::KeyValue;
using platform::StoreStatus;

namespace {

const std::string KeepPath = "/-/kv-keep/";
const std::string EndPath = "/-/kv-lease-end/";

int httpStatusOf(StoreStatus status) {
  switch (status) {
  case StoreStatus::Ok:
    return 200;
  case StoreStatus::NotFound:
    return 404;
  case StoreStatus::Compacted:
    return 410;
  case StoreStatus::Conflict:
    return 412;
  case StoreStatus::Refused:
  case StoreStatus::Unknown:
    break;
  }
  return 503;
}

json itemBody(const KeyValue &item) {
  return {{"key", item.Key},
          {"value", absl::Base64Escape(item.Value)},
          {"revision", item.ModRevision},
          {"created", item.CreateRevision},
          {"lease", item.Lease}};
}

json itemBodies(const std::vector<KeyValue> &items) {
  json list = json::array();
  for (const KeyValue &item : items)
    list.push_back(itemBody(item));
  return list;
}

json pageBody(const platform::StorePage &page) {
  return {{"items", itemBodies(page.Items)},
          {"morePages", page.More},
          {"storeRevision", page.Revision}};
}

json eventsBody(const platform::StoreEvents &changes) {
  json list = json::array();
  for (const platform::StoreEvent &event : changes.Events)
    list.push_back(event.Deleted ? json{{"key", event.Item.Key},
                                        {"revision", event.Item.ModRevision},
                                        {"tombstone", true}}
                                 : itemBody(event.Item));
  return {{"events", list}, {"storeRevision", changes.Revision}};
}

json leaseBody(const platform::StoreLease &lease) {
  return {{"lease", lease.Id}, {"ttlMs", lease.TtlMs}};
}

int64_t numberOf(const std::string &text) {
  int64_t n = 0;
  (void)absl::SimpleAtoi(text, &n);
  return n;
}

platform::StoreTxn txnOf(const json &body) {
  platform::StoreTxn txn;
  for (const json &c : body.at("expected"))
    txn.Expected.push_back({c.at("key"), c.at("revision")});
  for (const json &p : body.at("puts")) {
    std::string value;
    absl::Base64Unescape(p.at("value").get<std::string>(), &value);
    txn.Puts.push_back({p.at("key"), value, p.value("lease", int64_t{0})});
  }
  txn.Removes = body.at("remove").get<std::vector<std::string>>();
  return txn;
}

} // namespace

StoreServer::StoreServer(utils::EventLoop &loop, cluster::MemoryStore &store,
                         ChangeAnswer changeAnswer)
    : Store(store.clientOf("processes")), Change(std::move(changeAnswer)) {
  http::AsyncServerOptions options;
  options.MaxBodyBytes = size_t{8} << 20;
  options.StoredArguments = {"key", "prefix", "after", "waitMs"};
  Server = std::make_unique<http::AsyncServer>(
      options,
      [this, &loop](const http::HttpRequest &request, const Respond &respond) {
        loop.post([this, request, respond] { serve(request, respond); });
      });
}

template <class T>
platform::OnStoreReply<T>
StoreServer::answerTo(const Respond &respond,
                      std::function<json(const T &)> toBody) const {
  return [this, respond, toBody](const platform::StoreReply<T> &reply) {
    respond({httpStatusOf(reply.Status), Change(toBody(reply.Value).dump())});
  };
}

void StoreServer::serve(const http::HttpRequest &request,
                        const Respond &respond) {
  const std::string &path = request.Path;
  const auto answerLease = answerTo<platform::StoreLease>(respond, leaseBody);
  if (path == "/-/kv-key")
    Store.Get(request.argument("key"), answerTo<KeyValue>(respond, itemBody));
  else if (path == "/-/kv-range")
    Store.Range(request.argument("prefix"), request.argument("after"),
                platform::ReadMode::Linearizable,
                answerTo<platform::StorePage>(respond, pageBody));
  else if (path == "/-/kv-watch")
    Store.Watch(request.argument("prefix"), numberOf(request.argument("after")),
                numberOf(request.argument("waitMs")),
                answerTo<platform::StoreEvents>(respond, eventsBody));
  else if (path == "/-/kv-txn")
    transact(json::parse(request.Body), respond);
  else if (path == "/-/kv-lease")
    Store.GrantLease(json::parse(request.Body).at("ttlMs"), answerLease);
  else if (path.rfind(KeepPath, 0) == 0)
    Store.KeepLease(numberOf(path.substr(KeepPath.size())), answerLease);
  else if (path.rfind(EndPath, 0) == 0)
    Store.EndLease(numberOf(path.substr(EndPath.size())), answerLease);
  else
    respond({404, "{}"});
}

void StoreServer::transact(const json &body, const Respond &respond) {
  Store.Transact(txnOf(body),
                 answerTo<platform::StoreTxnReply>(
                     respond, [](const platform::StoreTxnReply &reply) {
                       return json{{"revision", reply.Revision},
                                   {"items", itemBodies(reply.Current)}};
                     }));
}

} // namespace oriolebay::testing_system
