#include "backendclient.h"

#include "utils/jsonfields.h"
#include "utils/jsontext.h"

#include <nlohmann/json.hpp>

namespace oriolebay::endpoints {

using nlohmann::json;
using utils::containerIn;
using utils::flagIn;
using utils::textIn;

namespace {

// Returns an answer of the back end; null if it is not valid JSON.
json parseReply(const std::string &body) {
  auto reply = utils::parseJson(body);
  return reply ? std::move(*reply) : json();
}

} // namespace

BackendClient::BackendClient(std::string url, std::string endpointId,
                             long timeoutMs)
    : Url(std::move(url)), EndpointId(std::move(endpointId)),
      Client(timeoutMs) {}

BackendReply BackendClient::run(const BackendTask &task, int leaseMs) {
  json body = {{"endpoint", EndpointId},
               {"job_id", task.JobId},
               {"run", task.Run},
               {"member", task.Member},
               {"payload", task.Payload},
               {"saved", task.Saved},
               {"power_limit_watts", task.PowerLimitWatts},
               {"lease_ms", leaseMs}};
  http::HttpResult res =
      Client.call("POST", Url + "/run", utils::toJsonText(body));
  if (!res.hasAnswer())
    return {TaskEnd::Failed, "back end did not answer: " + res.Error, ""};
  const json reply = parseReply(res.Body);
  if (!reply.is_object())
    return {TaskEnd::Failed, "back end answered with invalid JSON", ""};
  BackendReply out{TaskEnd::Failed, textIn(reply, "output"),
                   textIn(reply, "saved")};
  if (flagIn(reply, "stopped"))
    out.End = TaskEnd::Stopped;
  else if (res.Status == 200 && flagIn(reply, "ok"))
    out.End = TaskEnd::Done;
  return out;
}

bool BackendClient::stop(const std::string &run, int member) {
  json body = {{"endpoint", EndpointId}, {"run", run}, {"member", member}};
  return Client.call("POST", Url + "/stop", utils::toJsonText(body)).Status ==
         200;
}

bool BackendClient::stopAll() {
  json body = {{"endpoint", EndpointId}};
  return Client.call("POST", Url + "/stop", utils::toJsonText(body)).Status ==
         200;
}

std::vector<TaskStatus> BackendClient::renewLeases(int leaseMs) {
  json body = {{"endpoint", EndpointId}, {"lease_ms", leaseMs}};
  http::HttpResult res =
      Client.call("POST", Url + "/hold", utils::toJsonText(body));
  const json reply = parseReply(res.Body);
  std::vector<TaskStatus> out;
  if (res.Status != 200)
    return out;
  for (const json &task : containerIn(reply, "tasks"))
    out.push_back(TaskStatus{
        textIn(task, "run"), static_cast<int>(utils::numberIn(task, "member")),
        task.contains("watts") ? utils::numberIn(task, "watts") : int64_t{-1}});
  return out;
}

} // namespace oriolebay::endpoints
