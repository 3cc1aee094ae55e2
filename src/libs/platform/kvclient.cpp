#include "kvclient.h"

#include "utils/jsonfields.h"
#include "utils/jsontext.h"

#include <absl/strings/escaping.h>
#include <absl/strings/numbers.h>
#include <nlohmann/json.hpp>

namespace oriolebay::platform {

using nlohmann::json;
using utils::containerIn;
using utils::ErrorKind;
using utils::flagIn;
using utils::textIn;

namespace {

// Maximum number of keys per page. It is bounded because the store limits the
// size of an answer, and the record of a gang of 128 members takes about 1.6
// KB.
constexpr int MaxKeysPerPage = 400;

std::string encodeBase64(const std::string &s) { return absl::Base64Escape(s); }

std::string decodeBase64(const json &j, const char *field) {
  std::string out;
  absl::Base64Unescape(textIn(j, field), &out);
  return out;
}

// etcd's gateway writes int64 as strings; the stand-in store of the tests may
// write numbers.
int64_t int64Field(const json &j, const char *field) {
  int64_t out = 0;
  if (absl::SimpleAtoi(textIn(j, field), &out))
    return out;
  return utils::numberIn(j, field);
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
      client->call("POST", BaseUrl + path, utils::toJsonText(body), timeoutMs);
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
  auto reply = utils::parseJson(res.Body);
  if (!reply || !reply->is_object())
    return utils::fail(ErrorKind::StoreBadReply,
                       "store answered " + path + " with no JSON object",
                       "check that store_url names the key-value service");
  return reply;
}

utils::Result<std::optional<KeyValue>> KvClient::get(const std::string &key) {
  BOOST_LEAF_AUTO(reply,
                  post("/v3/kv/range", json{{"key", encodeBase64(key)}}));
  const json &kvs = containerIn(reply, "kvs");
  if (kvs.empty())
    return std::optional<KeyValue>();
  return std::optional<KeyValue>(parseKeyValue(kvs.front()));
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
    if (first && revision != nullptr)
      *revision = int64Field(containerIn(reply, "header"), "revision");
    for (const json &kv : containerIn(reply, "kvs"))
      out.push_back(parseKeyValue(kv));
    more = flagIn(reply, "more") && !out.empty();
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
  return int64Field(containerIn(reply, "header"), "revision");
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
  out.Succeeded = flagIn(reply, "succeeded");
  out.Revision = int64Field(containerIn(reply, "header"), "revision");
  if (out.Succeeded)
    return out;
  for (const json &response : containerIn(reply, "responses"))
    for (const json &kv :
         containerIn(containerIn(response, "response_range"), "kvs"))
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
  const int64_t ttl = int64Field(containerIn(reply, "result"), "TTL");
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
  const json &result = containerIn(reply, "result");
  WatchBatch batch;
  batch.Revision = int64Field(containerIn(result, "header"), "revision");
  for (const json &event : containerIn(result, "events"))
    batch.Changes.push_back(parseKeyValue(containerIn(event, "kv")));
  return batch;
}

} // namespace oriolebay::platform
