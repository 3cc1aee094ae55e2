#include "jobrecord.h"

#include "core/codec.h"

#include <nlohmann/json.hpp>

namespace oriolebay::core {

// Stored in every job's record: short names, and only what differs from the
// default, because most fields of most steps are not used.
void to_json(nlohmann::json &j, const StepSpec &s) {
  const StepSpec none;
  j = {{"n", s.Count},
       {"r",
        {s.PerTask.MilliCores, s.PerTask.MemoryMb, s.PerTask.Accelerators}}};
  auto put = [&j](const char *name, const auto &value, const auto &standard) {
    if (value != standard)
      j[name] = value;
  };
  put("est", s.EstimateMs, none.EstimateMs);
  put("after", s.After, none.After);
  put("ckpt", s.Checkpoints, none.Checkpoints);
  put("gang", s.Gang, none.Gang);
  put("rack", s.SameRack, none.SameRack);
  put("label", s.NeedsLabel, none.NeedsLabel);
  put("data", s.DataRack, none.DataRack);
  put("max", s.MaxPerWorker, none.MaxPerWorker);
  put("copies", s.Copies, none.Copies);
  put("long", s.LongRunning, none.LongRunning);
  put("image", s.Image, none.Image);
  put("target", s.TargetMs, none.TargetMs);
  put("fills", s.FillsIdle, none.FillsIdle);
  put("miss", s.MayMiss, none.MayMiss);
}

void from_json(const nlohmann::json &j, StepSpec &s) {
  const StepSpec none;
  j.at("n").get_to(s.Count);
  const nlohmann::json &r = j.at("r");
  s.PerTask = {r.at(0).get<int64_t>(), r.at(1).get<int64_t>(),
               r.at(2).get<int64_t>()};
  s.EstimateMs = j.value("est", none.EstimateMs);
  s.After = j.value("after", none.After);
  s.Checkpoints = j.value("ckpt", none.Checkpoints);
  s.Gang = j.value("gang", none.Gang);
  s.SameRack = j.value("rack", none.SameRack);
  s.NeedsLabel = j.value("label", none.NeedsLabel);
  s.DataRack = j.value("data", none.DataRack);
  s.MaxPerWorker = j.value("max", none.MaxPerWorker);
  s.Copies = j.value("copies", none.Copies);
  s.LongRunning = j.value("long", none.LongRunning);
  s.Image = j.value("image", none.Image);
  s.TargetMs = j.value("target", none.TargetMs);
  s.FillsIdle = j.value("fills", none.FillsIdle);
  s.MayMiss = j.value("miss", none.MayMiss);
}

} // namespace oriolebay::core

namespace oriolebay::jobs {

using nlohmann::json;

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

/// The workers that a record names, each once: a gang's tasks share a few.
class Places {
public:
  explicit Places(json list = json::array()) : List(std::move(list)) {}

  int indexOf(const TaskProgress &t) {
    if (t.Worker.empty())
      return -1;
    const json place = {t.Worker.Id, t.Agent, t.Worker.BornMs};
    for (size_t i = 0; i < List.size(); ++i)
      if (List[i] == place)
        return static_cast<int>(i);
    List.push_back(place);
    return static_cast<int>(List.size()) - 1;
  }

  void put(int index, TaskProgress &t) const {
    if (index < 0)
      return;
    const json &place = List.at(static_cast<size_t>(index));
    place.at(0).get_to(t.Worker.Id);
    place.at(1).get_to(t.Agent);
    if (place.size() > 2)
      place.at(2).get_to(t.Worker.BornMs);
  }

  const json &list() const { return List; }

private:
  json List;
};

// A task that never started is written as zero.
json taskToJson(const TaskProgress &t, Places &places) {
  if (t == TaskProgress{})
    return 0;
  json j = json::array(
      {t.Run, t.Failed, t.Done ? 1 : 0, places.indexOf(t), t.Saved});
  if (!t.CrashedAt.empty())
    j.push_back(t.CrashedAt);
  return j;
}

TaskProgress taskFromJson(const json &j, const Places &places) {
  TaskProgress t;
  if (!j.is_array())
    return t;
  j.at(0).get_to(t.Run);
  j.at(1).get_to(t.Failed);
  t.Done = j.at(2).get<int>() != 0;
  places.put(j.at(3).get<int>(), t);
  j.at(4).get_to(t.Saved);
  if (j.size() > 5)
    j.at(5).get_to(t.CrashedAt);
  return t;
}

template <class T, class Read>
utils::Result<T> readRecord(const std::string &bytes, Read read) {
  try {
    return read(json::from_cbor(bytes));
  } catch (const std::exception &e) {
    return utils::fail(utils::ErrorKind::BadMessage,
                       std::string("undecodable job record: ") + e.what(),
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

JobState shownState(const JobRecord &record, const JobProgress *progress) {
  const JobState state =
      progress != nullptr ? progress->State : JobState::Queued;
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
  if (r.Spec.Repeats > 0)
    j["due"] = {r.Spec.Repeats, r.Spec.FirstDueMs, r.Spec.IntervalMs};
  return toCbor(j);
}

std::string encode(const JobProgress &p) {
  json occurrences = json::array();
  Places places;
  for (const auto &[occurrence, steps] : p.Tasks) {
    json list = json::array();
    for (const auto &tasks : steps) {
      json step = json::array();
      for (const TaskProgress &t : tasks)
        step.push_back(taskToJson(t, places));
      list.push_back(std::move(step));
    }
    occurrences.push_back(json::array({occurrence, std::move(list)}));
  }
  return toCbor({{"v", p.Version},
                 {"state", static_cast<int>(p.State)},
                 {"places", places.list()},
                 {"tasks", std::move(occurrences)}});
}

utils::Result<JobRecord> decodeRecord(const std::string &bytes) {
  return readRecord<JobRecord>(bytes, [](const json &j) {
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
    if (j.contains("due")) {
      r.Spec.Repeats = j["due"].at(0).get<int>();
      r.Spec.FirstDueMs = j["due"].at(1).get<int64_t>();
      r.Spec.IntervalMs = j["due"].at(2).get<int64_t>();
    }
    return r;
  });
}

utils::Result<JobProgress> decodeProgress(const std::string &bytes) {
  return readRecord<JobProgress>(bytes, [](const json &j) {
    JobProgress p;
    j.at("v").get_to(p.Version);
    p.State = static_cast<JobState>(j.at("state").get<int>());
    const Places places(j.at("places"));
    for (const json &entry : j.at("tasks")) {
      auto &steps = p.Tasks[entry.at(0).get<int>()];
      for (const json &list : entry.at(1)) {
        auto &tasks = steps.emplace_back();
        for (const json &t : list)
          tasks.push_back(taskFromJson(t, places));
      }
    }
    return p;
  });
}

} // namespace oriolebay::jobs
