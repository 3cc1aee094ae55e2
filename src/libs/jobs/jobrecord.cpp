#include "jobrecord.h"

#include "core/codec.h"
#include "utils/jsonfields.h"
#include "utils/jsontext.h"
#include "utils/text.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <stdexcept>

namespace oriolebay::core {

// Steps are stored in the record of every job. Names are short, and only values
// that differ from the default are written, because most steps use few fields.
void to_json(nlohmann::json &j, const StepSpec &s) {
  const StepSpec defaults;
  j = {{"n", s.Count},
       {"r",
        {s.PerTask.MilliCores, s.PerTask.MemoryMb, s.PerTask.Accelerators}}};
  auto putUnlessDefault = [&j](const char *name, const auto &value,
                               const auto &defaultValue) {
    if (value != defaultValue)
      j[name] = value;
  };
  putUnlessDefault("est", s.EstimateMs, defaults.EstimateMs);
  putUnlessDefault("after", s.After, defaults.After);
  putUnlessDefault("ckpt", s.Checkpoints, defaults.Checkpoints);
  putUnlessDefault("gang", s.Gang, defaults.Gang);
  putUnlessDefault("rack", s.SameRack, defaults.SameRack);
  putUnlessDefault("label", s.NeedsLabel, defaults.NeedsLabel);
  putUnlessDefault("data", s.DataRack, defaults.DataRack);
  putUnlessDefault("max", s.MaxPerWorker, defaults.MaxPerWorker);
  putUnlessDefault("copies", s.Speculative, defaults.Speculative);
  putUnlessDefault("long", s.LongRunning, defaults.LongRunning);
  putUnlessDefault("image", s.Image, defaults.Image);
  putUnlessDefault("target", s.TargetMs, defaults.TargetMs);
  putUnlessDefault("fills", s.UsesIdleCores, defaults.UsesIdleCores);
  putUnlessDefault("miss", s.MaxUnavailable, defaults.MaxUnavailable);
}

void from_json(const nlohmann::json &j, StepSpec &s) {
  const StepSpec defaults;
  j.at("n").get_to(s.Count);
  const nlohmann::json &r = j.at("r");
  s.PerTask = {r.at(0).get<int64_t>(), r.at(1).get<int64_t>(),
               r.at(2).get<int64_t>()};
  s.EstimateMs = j.value("est", defaults.EstimateMs);
  s.After = j.value("after", defaults.After);
  s.Checkpoints = j.value("ckpt", defaults.Checkpoints);
  s.Gang = j.value("gang", defaults.Gang);
  s.SameRack = j.value("rack", defaults.SameRack);
  s.NeedsLabel = j.value("label", defaults.NeedsLabel);
  s.DataRack = j.value("data", defaults.DataRack);
  s.MaxPerWorker = j.value("max", defaults.MaxPerWorker);
  s.Speculative = j.value("copies", defaults.Speculative);
  s.LongRunning = j.value("long", defaults.LongRunning);
  s.Image = j.value("image", defaults.Image);
  s.TargetMs = j.value("target", defaults.TargetMs);
  s.UsesIdleCores = j.value("fills", defaults.UsesIdleCores);
  s.MaxUnavailable = j.value("miss", defaults.MaxUnavailable);
}

} // namespace oriolebay::core

namespace oriolebay::jobs {

using nlohmann::json;

void to_json(json &j, const LateStart &s) {
  j = json::array({s.WorkerId, s.Agent, s.Run});
}

void from_json(const json &j, LateStart &s) {
  j.at(0).get_to(s.WorkerId);
  j.at(1).get_to(s.Agent);
  j.at(2).get_to(s.Run);
}

const char *const JobPrefix = "oriolebay/jobs/";

namespace {

const std::string SpecSuffix = "/spec";
const std::string ProgressSuffix = "/progress";

bool endsWith(const std::string &s, const std::string &suffix) {
  return s.size() >= suffix.size() &&
         s.compare(s.size() - suffix.size(), suffix.size(), suffix) == 0;
}

std::string toCbor(const json &j) {
  const std::vector<uint8_t> bytes = json::to_cbor(j);
  return {bytes.begin(), bytes.end()};
}

/// The workers that the tasks of a job name, each stored once, because the
/// tasks of a gang share a few workers.
class WorkerTable {
public:
  explicit WorkerTable(json list = json::array()) : List(std::move(list)) {}

  /// The index of the task's worker, which is added if necessary; -1 if the
  /// task has none.
  int indexFor(const TaskProgress &t) {
    if (t.Worker.empty())
      return -1;
    const json row = {t.Worker.Id, t.Agent, t.Worker.BornMs};
    for (size_t i = 0; i < List.size(); ++i)
      if (List[i] == row)
        return static_cast<int>(i);
    List.push_back(row);
    return static_cast<int>(List.size()) - 1;
  }

  /// Sets worker and agent of the task from the table.
  void setWorker(int index, TaskProgress &t) const {
    if (index < 0)
      return;
    const json &row = List.at(static_cast<size_t>(index));
    row.at(0).get_to(t.Worker.Id);
    row.at(1).get_to(t.Agent);
    if (row.size() > 2)
      row.at(2).get_to(t.Worker.BornMs);
  }

  const json &list() const { return List; }

private:
  json List;
};

json taskToJson(const TaskProgress &t, WorkerTable &workers) {
  json j = json::array(
      {t.Run, t.Failed, t.Done ? 1 : 0, workers.indexFor(t), t.Saved});
  // Members at the end that are empty are left out.
  const bool hasFailedRuns = !t.FailedRuns.empty();
  if (hasFailedRuns || !t.CrashedAt.empty() || !t.LateStarts.empty())
    j.push_back(t.CrashedAt);
  if (hasFailedRuns || !t.LateStarts.empty())
    j.push_back(t.LateStarts);
  if (hasFailedRuns)
    j.push_back(t.FailedRuns);
  return j;
}

TaskProgress taskFromJson(const json &j, const WorkerTable &workers) {
  TaskProgress t;
  j.at(0).get_to(t.Run);
  j.at(1).get_to(t.Failed);
  t.Done = j.at(2).get<int>() != 0;
  workers.setWorker(j.at(3).get<int>(), t);
  j.at(4).get_to(t.Saved);
  if (j.size() > 5)
    j.at(5).get_to(t.CrashedAt);
  if (j.size() > 6)
    j.at(6).get_to(t.LateStarts);
  if (j.size() > 7)
    for (const json &run : j.at(7))
      t.FailedRuns.push_back(utils::checkedNumber<int64_t>(run));
  return t;
}

JobState stateFromJson(const json &j) {
  const int state = utils::checkedNumber<int>(j);
  if (state < static_cast<int>(JobState::Queued) ||
      state > static_cast<int>(JobState::Cancelled))
    throw std::out_of_range("no state has this number");
  return static_cast<JobState>(state);
}

// A task without any progress is written as zero.
json stepToJson(const StepProgress &step, WorkerTable &workers) {
  TaskProgress done;
  done.Done = true;
  json tasks = json::array();
  for (size_t i = 0; i < step.size(); ++i) {
    if (const TaskProgress *task = step.find(i))
      tasks.push_back(taskToJson(*task, workers));
    else if (step.isDone(i))
      tasks.push_back(taskToJson(done, workers));
    else
      tasks.push_back(0);
  }
  return tasks;
}

StepProgress stepFromJson(const json &j, const WorkerTable &workers) {
  TaskProgress done;
  done.Done = true;
  StepProgress step(j.size());
  for (size_t i = 0; i < j.size(); ++i) {
    if (!j[i].is_array())
      continue;
    TaskProgress task = taskFromJson(j[i], workers);
    if (task == done)
      step.settle(i);
    else
      step[i] = std::move(task);
  }
  return step;
}

// The tasks of one occurrence, by step.
std::vector<StepProgress> occurrenceFromJson(const json &j,
                                             const WorkerTable &workers) {
  std::vector<StepProgress> steps;
  size_t count = 0;
  for (const json &list : j) {
    count += list.size();
    if (steps.size() == core::MaxStepsPerJob ||
        count > static_cast<size_t>(core::MaxTasksPerJob))
      throw std::out_of_range("more tasks than a job may have");
    steps.push_back(stepFromJson(list, workers));
  }
  return steps;
}

int occurrenceNumber(const json &j) {
  const int occurrence = utils::checkedNumber<int>(j);
  if (occurrence < 0 || occurrence >= core::MaxRepeats)
    throw std::out_of_range("no occurrence has this number");
  return occurrence;
}

// Occurrences of which all is done have an entry of a range only. Versions that
// do not know ranges refuse it: they would take these for not begun.
json rangeToJson(int first, int last) {
  return json::array({json::array({first, last})});
}

void addRange(const json &range, NumberRanges &ranges) {
  ranges.insert(occurrenceNumber(range.at(0)), occurrenceNumber(range.at(1)));
}

json stallTimeoutsToJson(const std::map<int, int64_t> &timeouts) {
  json rows = json::array();
  for (const auto &[step, ms] : timeouts)
    rows.push_back(json::array({step, ms}));
  return rows;
}

std::map<int, int64_t> stallTimeoutsFromJson(const json &rows) {
  std::map<int, int64_t> timeouts;
  for (const json &row : rows) {
    const int step = utils::checkedNumber<int>(row.at(0));
    const auto ms = utils::checkedNumber<int64_t>(row.at(1));
    if (step < 0 || static_cast<size_t>(step) >= core::MaxStepsPerJob ||
        ms < 0 || ms > core::MaxAmount)
      throw std::out_of_range("no step has this timeout");
    timeouts[step] = ms;
  }
  return timeouts;
}

template <class T, class Decode>
utils::Result<T> decodeCbor(const std::string &bytes, Decode decode) {
  BOOST_LEAF_AUTO(j, utils::parseCbor(bytes));
  try {
    return decode(j);
  } catch (const std::exception &e) {
    return utils::fail(utils::ErrorKind::BadMessage,
                       "undecodable job record: " + utils::excerpt(e.what()),
                       "run the same version on all entries, or remove the "
                       "record");
  }
}

} // namespace

std::string specKey(const std::string &jobId) {
  return JobPrefix + jobId + SpecSuffix;
}

std::string progressKey(const std::string &jobId) {
  return JobPrefix + jobId + ProgressSuffix;
}

bool parseJobKey(const std::string &key, std::string &jobId, bool &progress) {
  const std::string prefix = JobPrefix;
  if (key.compare(0, prefix.size(), prefix) != 0)
    return false;
  progress = endsWith(key, ProgressSuffix);
  if (!progress && !endsWith(key, SpecSuffix))
    return false;
  const size_t suffix = progress ? ProgressSuffix.size() : SpecSuffix.size();
  if (key.size() <= prefix.size() + suffix)
    return false;
  jobId = key.substr(prefix.size(), key.size() - prefix.size() - suffix);
  return true;
}

const char *jobStateName(JobState state) {
  switch (state) {
  case JobState::Queued:
    return "queued";
  case JobState::Running:
    return "running";
  case JobState::Completed:
    return "completed";
  case JobState::Failed:
    return "failed";
  case JobState::Cancelled:
    return "cancelled";
  }
  return "unknown";
}

JobState visibleStateOf(const JobRecord &record, JobState state) {
  if (!isFinal(state) && record.Cancelled)
    return JobState::Cancelled;
  return state;
}

std::string encode(const JobRecord &r) {
  json j = {{"id", r.Spec.Id},         {"org", r.Spec.Organisation},
            {"queue", r.Spec.Queue},   {"text", r.Spec.Payload},
            {"steps", r.Spec.Steps},   {"service", r.Service},
            {"prio", r.Priority},      {"tries", r.Attempts},
            {"stretch", r.Stretch},    {"target", r.TargetLatencyMs},
            {"advice", r.NeedsAdvice}, {"cancelled", r.Cancelled}};
  if (r.DecidedBy != core::ConfigStamp())
    j["config"] = {r.DecidedBy.Revision, r.DecidedBy.Version};
  if (r.Spec.Address.isKnown())
    j["at"] = {r.Spec.Address.Host, r.Spec.Address.Prefix, r.Spec.Address.Path};
  if (r.Spec.Repeats > 0)
    j["due"] = {r.Spec.Repeats, r.Spec.FirstDueMs, r.Spec.IntervalMs};
  return toCbor(j);
}

std::string encode(const JobProgress &p) {
  json occurrences = json::array();
  WorkerTable workers;
  for (const auto &[occurrence, steps] : p.Tasks) {
    json list = json::array();
    for (const StepProgress &step : steps)
      list.push_back(stepToJson(step, workers));
    occurrences.push_back(json::array({occurrence, std::move(list)}));
  }
  for (const auto &[first, last] : p.DoneOccurrences.ranges())
    occurrences.push_back(rangeToJson(first, last));
  json j = {{"v", p.Version},
            {"state", static_cast<int>(p.State)},
            {"places", workers.list()},
            {"tasks", std::move(occurrences)}};
  if (!p.StallTimeoutsMs.empty())
    j["stall_ms"] = stallTimeoutsToJson(p.StallTimeoutsMs);
  return toCbor(j);
}

namespace {

/// The tasks that have saved something, the longest first.
std::vector<TaskProgress *> tasksBySaved(JobProgress &progress) {
  std::vector<TaskProgress *> tasks;
  for (auto &[occurrence, steps] : progress.Tasks)
    for (StepProgress &step : steps)
      for (auto &[index, task] : step.objects())
        if (!task.Saved.empty())
          tasks.push_back(&task);
  std::stable_sort(tasks.begin(), tasks.end(),
                   [](const TaskProgress *a, const TaskProgress *b) {
                     return a->Saved.size() > b->Saved.size();
                   });
  return tasks;
}

size_t savedBytes(const JobProgress &progress) {
  size_t bytes = 0;
  for (const auto &[occurrence, steps] : progress.Tasks)
    for (const StepProgress &step : steps)
      for (const auto &[index, task] : step.objects())
        bytes += task.Saved.size();
  return bytes;
}

// A record without the numbers is one of an earlier version, whose count of
// failed runs stands.
void omitFailedRuns(JobProgress &progress) {
  for (auto &[occurrence, steps] : progress.Tasks)
    for (StepProgress &step : steps)
      for (auto &[index, task] : step.objects())
        task.FailedRuns.clear();
}

} // namespace

BoundedProgress encodeWithin(const JobProgress &progress,
                             const ProgressLimits &limits) {
  BoundedProgress bounded{encode(progress)};
  const size_t saved = savedBytes(progress);
  if (bounded.Value.size() <= limits.MaxBytes && saved <= limits.MaxSavedBytes)
    return bounded;
  JobProgress smaller = progress;
  size_t excess = std::max(bounded.Value.size() -
                               std::min(bounded.Value.size(), limits.MaxBytes),
                           saved - std::min(saved, limits.MaxSavedBytes));
  for (TaskProgress *task : tasksBySaved(smaller)) {
    if (excess == 0)
      break;
    excess -= std::min(excess, task->Saved.size());
    task->Saved.clear();
    ++bounded.OmittedSaves;
  }
  if (excess > 0)
    omitFailedRuns(smaller);
  bounded.Value = encode(smaller);
  return bounded;
}

utils::Result<JobRecord> decodeRecord(const std::string &bytes) {
  return decodeCbor<JobRecord>(bytes, [](const json &j) {
    JobRecord r;
    j.at("id").get_to(r.Spec.Id);
    j.at("org").get_to(r.Spec.Organisation);
    j.at("queue").get_to(r.Spec.Queue);
    j.at("text").get_to(r.Spec.Payload);
    j.at("steps").get_to(r.Spec.Steps);
    j.at("service").get_to(r.Service);
    j.at("prio").get_to(r.Priority);
    j.at("tries").get_to(r.Attempts);
    j.at("stretch").get_to(r.Stretch);
    j.at("target").get_to(r.TargetLatencyMs);
    j.at("advice").get_to(r.NeedsAdvice);
    j.at("cancelled").get_to(r.Cancelled);
    if (j.contains("config"))
      r.DecidedBy = {j["config"].at(0).get<int64_t>(),
                     j["config"].at(1).get<int64_t>()};
    if (j.contains("at"))
      r.Spec.Address = {j["at"].at(0).get<std::string>(),
                        j["at"].at(1).get<std::string>(),
                        j["at"].at(2).get<std::string>()};
    if (j.contains("due")) {
      r.Spec.Repeats = j["due"].at(0).get<int>();
      r.Spec.FirstDueMs = j["due"].at(1).get<int64_t>();
      r.Spec.IntervalMs = j["due"].at(2).get<int64_t>();
    }
    return r;
  });
}

utils::Result<JobProgress> decodeProgress(const std::string &bytes) {
  return decodeCbor<JobProgress>(bytes, [](const json &j) {
    JobProgress p;
    j.at("v").get_to(p.Version);
    p.State = stateFromJson(j.at("state"));
    const WorkerTable workers(j.at("places"));
    for (const json &entry : j.at("tasks")) {
      if (entry.at(0).is_array())
        addRange(entry.at(0), p.DoneOccurrences);
      else
        p.Tasks[occurrenceNumber(entry.at(0))] =
            occurrenceFromJson(entry.at(1), workers);
    }
    if (j.contains("stall_ms"))
      p.StallTimeoutsMs = stallTimeoutsFromJson(j["stall_ms"]);
    return p;
  });
}

} // namespace oriolebay::jobs
