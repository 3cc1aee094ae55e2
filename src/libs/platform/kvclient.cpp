#include "kvclient.h"

#include <absl/strings/escaping.h>
#include <nlohmann/json.hpp>

namespace oriolebay::platform {

using nlohmann::json;
using utils::ErrorKind;

namespace {

// Maximum number of keys per page. It is bounded because the store limits the
// size of an answer, and the record of a gang of 128 members takes about 1.6
// KB.
constexpr int MaxKeysPerPage = 400;

std::string encodeBase64(const std::string &s) { return absl::Base64Escape(s); }

std::string decodeBase64(const json &j, const char *field) {
  std::string out;
  if (j.contains(field))
    absl::Base64Unescape(j.at(field).get<std::string>(), &out);
  return out;
}

// etcd's gateway writes int64 as strings; the stand-in store of the tests may
// write numbers.
int64_t int64Field(const json &j, const char *field) {
  if (!j.contains(field))
    return 0;
  const json &v = j.at(field);
  if (v.is_string())
    return std::stoll(v.get<std::string>());
  return v.get<int64_t>();
}

KeyValue parseKeyValue(const json &j) {
  return KeyValue{decodeBase64(j, "key"), decodeBase64(j, "value"),
                  int64Field(j, "create_revision"),
                  int64Field(j, "mod_revision"), int64Field(j, "lease")};
}

} // namespace

std::string prefixEnd(const std::string &prefix) {
  std::string end = prefix;
  while (!end.empty()) {
    auto last = static_cast<unsigned char>(end.back());
    if (last < 0xff) {
      end.back() = static_cast<char>(last + 1);
      return end;
    }
    end.pop_back();
  }
  return std::string(1, '\0');
}

KvClient::KvClient(std::string baseUrl, long timeoutMs)
    : BaseUrl(std::move(baseUrl)), TimeoutMs(timeoutMs) {}

utils::Result<json> KvClient::post(const std::string &path, const json &body,
                                   long timeoutMs) {
  std::unique_ptr<http::HttpClient> client;
  {
    absl::MutexLock lock(&Mu);
    if (!IdleClients.empty()) {
      client = std::move(IdleClients.back());
      IdleClients.pop_back();
    }
  }
  if (!client)
    client = std::make_unique<http::HttpClient>(TimeoutMs);
  ++Calls;
  http::HttpResult res =
      client->call("POST", BaseUrl + path, body.dump(), timeoutMs);
  {
    absl::MutexLock lock(&Mu);
    IdleClients.push_back(std::move(client));
  }
  // The store may have applied a write although the answer is missing or has a
  // 5xx status. The caller must treat the outcome as unknown, not as "not
  // written".
  if (!res.hasAnswer() || res.Status >= 500)
    return utils::fail(ErrorKind::StoreUnavailable,
                       "store call " + path + " failed: " +
                           (res.hasAnswer() ? res.Body : res.Error),
                       "retry later; the store may be down or slow");
  if (res.Status != 200)
    return utils::fail(ErrorKind::StoreBadReply,
                       "store refused " + path + " with status " +
                           std::to_string(res.Status),
                       "check the store's address and version");
  json reply = json::parse(res.Body, nullptr, false);
  if (reply.is_discarded())
    return utils::fail(ErrorKind::StoreBadReply,
                       "store answered " + path + " with invalid JSON",
                       "check that store_url names the key-value service");
  return reply;
}

utils::Result<std::optional<KeyValue>> KvClient::get(const std::string &key) {
  BOOST_LEAF_AUTO(reply,
                  post("/v3/kv/range", json{{"key", encodeBase64(key)}}));
  if (!reply.contains("kvs") || reply["kvs"].empty())
    return std::optional<KeyValue>();
  return std::optional<KeyValue>(parseKeyValue(reply["kvs"][0]));
}

utils::Result<std::vector<KeyValue>> KvClient::list(const std::string &prefix,
                                                    int64_t *revision) {
  std::vector<KeyValue> out;
  std::string startKey = prefix;
  // Reads in pages, because the store limits the size of an answer, and at the
  // target size of the system the gang records alone exceed this limit. The
  // revision is that of the first page, so that a watch from there misses no
  // change that was made while the later pages were read.
  for (bool first = true, more = true; more; first = false) {
    BOOST_LEAF_AUTO(reply,
                    post("/v3/kv/range",
                         json{{"key", encodeBase64(startKey)},
                              {"range_end", encodeBase64(prefixEnd(prefix))},
                              {"limit", std::to_string(MaxKeysPerPage)}}));
    if (first && revision != nullptr && reply.contains("header"))
      *revision = int64Field(reply["header"], "revision");
    if (reply.contains("kvs"))
      for (const json &kv : reply["kvs"])
        out.push_back(parseKeyValue(kv));
    more = reply.value("more", false) && !out.empty();
    if (more)
      startKey = out.back().Key + '\0';
  }
  return out;
}

utils::Result<int64_t> KvClient::put(const std::string &key,
                                     const std::string &value, int64_t lease) {
  json body = {{"key", encodeBase64(key)}, {"value", encodeBase64(value)}};
  if (lease != 0)
    body["lease"] = std::to_string(lease);
  BOOST_LEAF_AUTO(reply, post("/v3/kv/put", body));
  return int64Field(reply.value("header", json::object()), "revision");
}

utils::Result<TxnResult> KvClient::txn(const std::vector<Compare> &conditions,
                                       const std::vector<Write> &writes) {
  json compare = json::array();
  json failure = json::array();
  for (const Compare &c : conditions) {
    const bool create = c.What == Compare::Field::CreateRevision;
    compare.push_back({{"key", encodeBase64(c.Key)},
                       {"target", create ? "CREATE" : "MOD"},
                       {"result", "EQUAL"},
                       {create ? "create_revision" : "mod_revision",
                        std::to_string(c.Revision)}});
    failure.push_back({{"request_range", {{"key", encodeBase64(c.Key)}}}});
  }
  json success = json::array();
  for (const Write &w : writes) {
    if (!w.Value) {
      success.push_back(
          {{"request_delete_range", {{"key", encodeBase64(w.Key)}}}});
      continue;
    }
    json put = {{"key", encodeBase64(w.Key)},
                {"value", encodeBase64(*w.Value)}};
    if (w.Lease != 0)
      put["lease"] = std::to_string(w.Lease);
    success.push_back({{"request_put", put}});
  }
  BOOST_LEAF_AUTO(reply, post("/v3/kv/txn", json{{"compare", compare},
                                                 {"success", success},
                                                 {"failure", failure}}));
  TxnResult out;
  out.Succeeded = reply.value("succeeded", false);
  out.Revision = int64Field(reply.value("header", json::object()), "revision");
  if (!out.Succeeded && reply.contains("responses"))
    for (const json &r : reply["responses"])
      if (r.contains("response_range") && r["response_range"].contains("kvs"))
        for (const json &kv : r["response_range"]["kvs"])
          out.Current.push_back(parseKeyValue(kv));
  return out;
}

utils::Result<CasResult> KvClient::compareAndSwap(const std::string &key,
                                                  const std::string &value,
                                                  int64_t expectedModRevision,
                                                  int64_t lease) {
  BOOST_LEAF_AUTO(res,
                  txn({{key, Compare::Field::ModRevision, expectedModRevision}},
                      {{key, value, lease}}));
  CasResult out{res.Succeeded, res.Revision, std::nullopt};
  if (!res.Current.empty())
    out.Current = res.Current.front();
  return out;
}

utils::Result<void> KvClient::revokeLease(int64_t lease) {
  BOOST_LEAF_CHECK(
      post("/v3/lease/revoke", json{{"ID", std::to_string(lease)}}));
  return {};
}

utils::Result<int64_t> KvClient::grantLease(int64_t ttlSeconds) {
  BOOST_LEAF_AUTO(reply, post("/v3/lease/grant",
                              json{{"TTL", std::to_string(ttlSeconds)}}));
  return int64Field(reply, "ID");
}

utils::Result<int64_t> KvClient::keepAlive(int64_t lease) {
  BOOST_LEAF_AUTO(
      reply, post("/v3/lease/keepalive", json{{"ID", std::to_string(lease)}}));
  json result = reply.value("result", json::object());
  int64_t ttl = int64Field(result, "TTL");
  if (ttl <= 0)
    return utils::fail(ErrorKind::NotFound,
                       "lease " + std::to_string(lease) + " has expired",
                       "request a new lease and acquire ownership again");
  return ttl;
}

utils::Result<WatchBatch> KvClient::watch(const std::string &prefix,
                                          int64_t fromRevision,
                                          long timeoutMs) {
  json body = {{"create_request",
                {{"key", encodeBase64(prefix)},
                 {"range_end", encodeBase64(prefixEnd(prefix))},
                 {"start_revision", std::to_string(fromRevision)},
                 {"timeout_ms", std::to_string(timeoutMs)}}}};
  BOOST_LEAF_AUTO(reply, post("/v3/watch", body, timeoutMs + TimeoutMs));
  json result = reply.value("result", json::object());
  WatchBatch batch;
  batch.Revision =
      int64Field(result.value("header", json::object()), "revision");
  if (result.contains("events"))
    for (const json &ev : result["events"])
      batch.Changes.push_back(parseKeyValue(ev.value("kv", json::object())));
  return batch;
}

} // namespace oriolebay::platform
