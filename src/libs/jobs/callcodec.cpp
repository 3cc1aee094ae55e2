#include "callcodec.h"

#include "jobrecord.h"

#include <algorithm>
#include <array>

namespace oriolebay::jobs {

namespace {

constexpr std::array Results = {
    CallResult::Ok,      CallResult::Invalid,    CallResult::UnknownQueue,
    CallResult::BadKey,  CallResult::UnknownJob, CallResult::IdTaken,
    CallResult::NotDone, CallResult::Open,       CallResult::NoRoom};
constexpr std::array States = {JobState::Queued, JobState::Running,
                               JobState::Completed, JobState::Failed,
                               JobState::Cancelled};

template <class Values, class NameOf>
auto findByName(const Values &values, const std::string &name, NameOf nameOf) {
  return std::find_if(values.begin(), values.end(),
                      [&](auto v) { return nameOf(v) == name; });
}

} // namespace

endpoints::ForwardedCall toMessage(const CallRequest &call, absl::Time now) {
  endpoints::ForwardedCall m;
  m.Call = call.Name;
  m.Host = call.Access.Host;
  m.Path = call.Access.Path;
  m.Key = call.Access.Key;
  m.TimeLeftMs = absl::ToInt64Milliseconds(call.Access.Deadline - now);
  m.Job = call.JobId;
  m.OldestRevision = call.OldestRevision;
  if (call.MaxConfigAge != absl::InfiniteDuration())
    m.MaxConfigAgeMs =
        std::max<int64_t>(1, absl::ToInt64Milliseconds(call.MaxConfigAge));
  m.OpenRevision = call.OpenRevision;
  m.OpenOrganisations = call.OpenOrganisations;
  m.AllowedBy = call.AllowedBy;
  if (call.Name == "submit") {
    JobRecord record;
    record.Spec = call.Spec;
    m.Record = encode(record);
  }
  return m;
}

utils::Result<CallRequest> toRequest(const endpoints::ForwardedCall &m,
                                     absl::Time now) {
  CallRequest call;
  call.Name = m.Call;
  call.Access = {m.Host, m.Path, m.Key,
                 now + absl::Milliseconds(std::max<int64_t>(0, m.TimeLeftMs))};
  call.JobId = m.Job;
  call.OldestRevision = m.OldestRevision;
  if (m.MaxConfigAgeMs > 0)
    call.MaxConfigAge = absl::Milliseconds(m.MaxConfigAgeMs);
  call.OpenRevision = m.OpenRevision;
  call.OpenOrganisations = m.OpenOrganisations;
  call.AllowedBy = m.AllowedBy;
  if (m.Call == "submit") {
    BOOST_LEAF_AUTO(record, decodeRecord(m.Record));
    call.Spec = std::move(record.Spec);
  }
  return call;
}

endpoints::ForwardedAnswer toMessage(const CallAnswer &answer) {
  return {callResultName(answer.Result),
          answer.Detail,
          answer.RetryAfterMs,
          jobStateName(answer.State),
          answer.Waiting,
          answer.DecidedBy,
          answer.ServedBy,
          answer.Settled,
          answer.NewestKnown};
}

CallAnswer toAnswer(const endpoints::ForwardedAnswer &m) {
  CallAnswer answer;
  answer.Result = CallResult::Open;
  answer.Detail = m.Detail;
  answer.RetryAfterMs = m.RetryAfterMs;
  answer.Waiting = m.Waiting;
  answer.DecidedBy = m.DecidedBy;
  answer.ServedBy = m.Entry;
  answer.Settled = m.Settled;
  answer.NewestKnown = m.NewestKnown;
  const auto *result = findByName(Results, m.Result, callResultName);
  const auto *state = findByName(States, m.State, jobStateName);
  if (result == Results.end() || state == States.end())
    return answer;
  answer.Result = *result;
  answer.State = *state;
  return answer;
}

} // namespace oriolebay::jobs
