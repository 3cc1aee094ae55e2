#pragma once

#include "answer.h"
#include "job.h"
#include "jobspec.h"
#include "profile.h"
#include "shape.h"
#include "siteconfig.h"
#include "workerinfo.h"

#include <nlohmann/json.hpp>

// JSON representation of the core types, with keys in snake_case. The same
// representation is sent as CBOR between the system's processes and as JSON to
// callers and to the store. Parsing throws nlohmann::json::exception on a
// missing key or a wrong type; callers of these functions convert that into a
// typed error at their boundary.
namespace oriolebay::core {

NLOHMANN_JSON_SERIALIZE_ENUM(JobClass, {{JobClass::Urgent, "urgent"},
                                        {JobClass::Batch, "batch"}})
NLOHMANN_JSON_SERIALIZE_ENUM(Outcome, {{Outcome::Done, "done"},
                                       {Outcome::Failed, "failed"},
                                       {Outcome::NotRun, "not_run"},
                                       {Outcome::InProgress, "in_progress"}})
NLOHMANN_JSON_SERIALIZE_ENUM(NotRunReason,
                             {{NotRunReason::None, "none"},
                              {NotRunReason::InvalidRequest, "invalid_request"},
                              {NotRunReason::UnknownProfile, "unknown_profile"},
                              {NotRunReason::CanNeverFit, "can_never_fit"},
                              {NotRunReason::OverGuarantee, "over_guarantee"},
                              {NotRunReason::NoCapacity, "no_capacity"},
                              {NotRunReason::PowerCap, "power_cap"},
                              {NotRunReason::Overloaded, "overloaded"},
                              {NotRunReason::ShuttingDown, "shutting_down"},
                              {NotRunReason::StoreUnavailable,
                               "store_unavailable"},
                              {NotRunReason::Cancelled, "cancelled"}})

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Resources, MilliCores, MemoryMb,
                                   Accelerators)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ConfigStamp, Revision, Version)

void to_json(nlohmann::json &j, const Shape &v);
void from_json(const nlohmann::json &j, Shape &v);
void to_json(nlohmann::json &j, const Guarantee &v);
void from_json(const nlohmann::json &j, Guarantee &v);
void to_json(nlohmann::json &j, const Profile &v);
void from_json(const nlohmann::json &j, Profile &v);
void to_json(nlohmann::json &j, const WorkerInfo &v);
void from_json(const nlohmann::json &j, WorkerInfo &v);
void to_json(nlohmann::json &j, const JobRequest &v);
void from_json(const nlohmann::json &j, JobRequest &v);
void to_json(nlohmann::json &j, const MemberResult &v);
void from_json(const nlohmann::json &j, MemberResult &v);
void to_json(nlohmann::json &j, const JobAnswer &v);
void from_json(const nlohmann::json &j, JobAnswer &v);

} // namespace oriolebay::core
