#include "codec.h"

namespace oriolebay::core {

using nlohmann::json;

void to_json(json &j, const Shape &v) {
  j = json{{"members", v.Members},
           {"accelerators_per_member", v.AcceleratorsPerMember},
           {"power_watts_per_member", v.PowerWattsPerMember}};
}

void from_json(const json &j, Shape &v) {
  j.at("members").get_to(v.Members);
  j.at("accelerators_per_member").get_to(v.AcceleratorsPerMember);
  j.at("power_watts_per_member").get_to(v.PowerWattsPerMember);
}

void to_json(json &j, const Guarantee &v) {
  j = json{{"organisation", v.Organisation},
           {"accelerators", v.Accelerators},
           {"accelerators_per_member", v.AcceleratorsPerMember}};
}

void from_json(const json &j, Guarantee &v) {
  j.at("organisation").get_to(v.Organisation);
  j.at("accelerators").get_to(v.Accelerators);
  v.AcceleratorsPerMember = j.value("accelerators_per_member", 0);
}

void to_json(json &j, const Profile &v) {
  j = json{{"name", v.Name},
           {"version", v.Version},
           {"power_cap_watts", v.PowerCapWatts},
           {"guarantees", v.Guarantees}};
}

void from_json(const json &j, Profile &v) {
  j.at("name").get_to(v.Name);
  v.Version = j.value("version", int64_t{0});
  j.at("power_cap_watts").get_to(v.PowerCapWatts);
  j.at("guarantees").get_to(v.Guarantees);
}

void to_json(json &j, const WorkerInfo &v) {
  j = json{{"id", v.Id},
           {"failure_domain", v.FailureDomain},
           {"rack", v.Rack},
           {"accelerators", v.Accelerators},
           {"address", v.Address}};
}

void from_json(const json &j, WorkerInfo &v) {
  j.at("id").get_to(v.Id);
  j.at("failure_domain").get_to(v.FailureDomain);
  j.at("rack").get_to(v.Rack);
  j.at("accelerators").get_to(v.Accelerators);
  j.at("address").get_to(v.Address);
}

void to_json(json &j, const JobRequest &v) {
  j = json{{"id", v.Id},
           {"organisation", v.Organisation},
           {"profile", v.Profile},
           {"shape", v.GangShape},
           {"class", v.Class},
           {"deadline_unix_ms", v.DeadlineUnixMs},
           {"idempotent", v.Idempotent},
           {"idempotency_key", v.IdempotencyKey},
           {"payload", v.Payload}};
}

void from_json(const json &j, JobRequest &v) {
  j.at("id").get_to(v.Id);
  j.at("organisation").get_to(v.Organisation);
  j.at("profile").get_to(v.Profile);
  j.at("shape").get_to(v.GangShape);
  j.at("class").get_to(v.Class);
  v.DeadlineUnixMs = j.value("deadline_unix_ms", int64_t{0});
  v.Idempotent = j.value("idempotent", true);
  v.IdempotencyKey = j.value("idempotency_key", std::string());
  v.Payload = j.value("payload", std::string());
}

void to_json(json &j, const MemberResult &v) {
  j = json{{"member", v.Member},
           {"worker_id", v.WorkerId},
           {"ok", v.Ok},
           {"output", v.Output}};
}

void from_json(const json &j, MemberResult &v) {
  j.at("member").get_to(v.Member);
  j.at("worker_id").get_to(v.WorkerId);
  j.at("ok").get_to(v.Ok);
  j.at("output").get_to(v.Output);
}

void to_json(json &j, const JobAnswer &v) {
  j = json{{"job_id", v.JobId},
           {"outcome", v.Result},
           {"reason", v.Reason},
           {"detail", v.Detail},
           {"retry_after_ms", v.RetryAfterMs},
           {"members", v.Members}};
}

void from_json(const json &j, JobAnswer &v) {
  j.at("job_id").get_to(v.JobId);
  j.at("outcome").get_to(v.Result);
  j.at("reason").get_to(v.Reason);
  j.at("detail").get_to(v.Detail);
  j.at("retry_after_ms").get_to(v.RetryAfterMs);
  j.at("members").get_to(v.Members);
}

} // namespace oriolebay::core
