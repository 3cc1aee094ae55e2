#include "backendclient.h"

#include <nlohmann/json.hpp>

namespace oriolebay::endpoints {

using nlohmann::json;

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
  http::HttpResult res = Client.call("POST", Url + "/run", body.dump());
  if (!res.hasAnswer())
    return {TaskEnd::Failed, "back end did not answer: " + res.Error, ""};
  json reply = json::parse(res.Body, nullptr, false);
  if (!reply.is_object())
    return {TaskEnd::Failed, "back end answered with invalid JSON", ""};
  BackendReply out{TaskEnd::Failed, reply.value("output", std::string()),
                   reply.value("saved", std::string())};
  if (reply.value("stopped", false))
    out.End = TaskEnd::Stopped;
  else if (res.Status == 200 && reply.value("ok", false))
    out.End = TaskEnd::Done;
  return out;
}

bool BackendClient::stop(const std::string &run, int member) {
  json body = {{"endpoint", EndpointId}, {"run", run}, {"member", member}};
  return Client.call("POST", Url + "/stop", body.dump()).Status == 200;
}

bool BackendClient::stopAll() {
  json body = {{"endpoint", EndpointId}};
  return Client.call("POST", Url + "/stop", body.dump()).Status == 200;
}

std::vector<TaskStatus> BackendClient::renewLeases(int leaseMs) {
  json body = {{"endpoint", EndpointId}, {"lease_ms", leaseMs}};
  http::HttpResult res = Client.call("POST", Url + "/hold", body.dump());
  json reply = json::parse(res.Body, nullptr, false);
  std::vector<TaskStatus> out;
  if (res.Status != 200 || !reply.is_object())
    return out;
  for (const json &task : reply.value("tasks", json::array()))
    out.push_back(TaskStatus{task.value("run", std::string()),
                             task.value("member", 0),
                             task.value("watts", int64_t{-1})});
  return out;
}

} // namespace oriolebay::endpoints
