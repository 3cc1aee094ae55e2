#include "jobs/jobrecord.h"

#include "platform/store.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <functional>
#include <limits>
#include <ostream>

namespace oriolebay::jobs {
namespace {

struct StampCase {
  const char *Name;
  core::ConfigStamp DecidedBy;
};

void PrintTo(const StampCase &c, std::ostream *out) { *out << c.Name; }

class RecordStamp : public testing::TestWithParam<StampCase> {};

TEST_P(RecordStamp, IsReadAsWritten) {
  JobRecord record;
  record.Spec.Id = "j";
  record.DecidedBy = GetParam().DecidedBy;
  EXPECT_EQ(decodeRecord(encode(record)).value(), record);
}

INSTANTIATE_TEST_SUITE_P(
    Table, RecordStamp,
    testing::Values(StampCase{"None", {0, 0}}, StampCase{"Small", {12, 3}},
                    StampCase{"Large", {INT64_MAX, INT64_MAX}}),
    [](const auto &info) { return info.param.Name; });

// Guards against jobs that are lost during an upgrade, because an entry cannot
// read a record that an earlier version has written without the stamp.
TEST(RecordWithoutStamp, IsReadAsOneOfAnEarlierVersion) {
  JobRecord record;
  record.Spec.Id = "j";
  record.DecidedBy = {12, 3};
  nlohmann::json earlier = nlohmann::json::from_cbor(encode(record));
  earlier.erase("config");
  const std::vector<uint8_t> bytes = nlohmann::json::to_cbor(earlier);
  record.DecidedBy = {};
  EXPECT_EQ(decodeRecord({bytes.begin(), bytes.end()}).value(), record);
}

// Guards against jobs that are lost once their queue is renamed, because their
// address is not recorded; and against records of earlier versions, which have
// none, that cannot be read.
TEST(AddressOfAJob, IsReadAsWritten) {
  for (const core::JobAddress &address :
       {core::JobAddress(), core::JobAddress{"host", "/jobs/", "/jobs/j"}}) {
    JobRecord record;
    record.Spec.Id = "j";
    record.Spec.Address = address;
    EXPECT_EQ(decodeRecord(encode(record)).value(), record);
  }
}

std::string cborOf(const nlohmann::json &document) {
  const std::vector<uint8_t> bytes = nlohmann::json::to_cbor(document);
  return {bytes.begin(), bytes.end()};
}

// A stored progress with this member in place of its own.
std::string progressWith(const char *member, const nlohmann::json &value) {
  TaskProgress task;
  task.Run = 1;
  task.Worker = {"w", 1};
  const JobProgress progress{3, JobState::Running, {{0, {{task}}}}};
  nlohmann::json document = nlohmann::json::from_cbor(encode(progress));
  document[member] = value;
  return cborOf(document);
}

std::string recordWith(const char *member, const nlohmann::json &value) {
  JobRecord record;
  record.Spec.Id = "j";
  nlohmann::json document = nlohmann::json::from_cbor(encode(record));
  document[member] = value;
  return cborOf(document);
}

struct ProgressCase {
  const char *Name;
  TaskProgress Task;
};

void PrintTo(const ProgressCase &c, std::ostream *out) { *out << c.Name; }

class StoredTasks : public testing::TestWithParam<ProgressCase> {};

// Guards against a next leader that counts a failed run, a crash or a late
// start otherwise than the one that recorded it.
TEST_P(StoredTasks, AreReadAsWritten) {
  const JobProgress progress{
      3, JobState::Running, {{0, {{GetParam().Task, TaskProgress()}}}}};
  EXPECT_EQ(decodeProgress(encode(progress)).value(), progress);
}

INSTANTIATE_TEST_SUITE_P(
    Table, StoredTasks,
    testing::Values(
        ProgressCase{"Done", {5, 0, true, {}, "", "saved"}},
        ProgressCase{"Crashed", {2, 0, false, {"w", 1}, "a", "", {"a"}}},
        ProgressCase{"StartsLate",
                     {2, 0, false, {}, "", "", {}, {{"w", "a", 2}}}},
        ProgressCase{"Failed", {2, 1, false, {}, "", "", {}, {}, {2}}},
        ProgressCase{
            "All",
            {7, 2, false, {"w", 1}, "a", "s", {"b"}, {{"w", "a", 7}}, {3, 5}}}),
    [](const auto &info) { return info.param.Name; });

// Guards against jobs that are lost during an upgrade, because a leader cannot
// read progress that an earlier version has written without the latest failed
// run.
TEST(ProgressOfAnEarlierVersion, IsRead) {
  TaskProgress task{2, 1, false, {}, "", "", {"a"}, {{"w", "a", 2}}};
  const JobProgress progress{3, JobState::Running, {{0, {{task}}}}};
  nlohmann::json earlier = nlohmann::json::from_cbor(encode(progress));
  EXPECT_EQ(earlier["tasks"][0][1][0][0].size(), 7u);
  EXPECT_EQ(decodeProgress(cborOf(earlier)).value(), progress);
}

// Guards against a next leader that stops sound runs, because it does not know
// how long one percent of them takes.
TEST(StallTimeouts, AreReadAsWritten) {
  const JobProgress progress{
      3, JobState::Running, {}, {}, {{0, 5200}, {core::MaxStepsPerJob - 1, 1}}};
  EXPECT_EQ(decodeProgress(encode(progress)).value(), progress);
}

struct SavedCase {
  const char *Name;
  size_t MaxBytes;
  size_t MaxSavedBytes;
  /// Tasks whose saved progress is left out.
  int Omitted;
};

void PrintTo(const SavedCase &c, std::ostream *out) { *out << c.Name; }

class LongSavedProgress : public testing::TestWithParam<SavedCase> {};

// Guards against jobs whose record is refused by the store for its size, again
// and again.
TEST_P(LongSavedProgress, IsLeftOutOfTooLargeARecord) {
  constexpr size_t Tasks = 100;
  JobProgress progress{3, JobState::Running, {{0, {StepProgress(Tasks)}}}};
  for (size_t i = 0; i < Tasks; ++i) {
    TaskProgress &task = progress.Tasks[0][0][i];
    task.Run = 1;
    task.Worker = {"w", 1};
    task.Saved = std::string(i == 7 ? 1000 : 600, 's');
  }
  const BoundedProgress bounded =
      encodeWithin(progress, {GetParam().MaxBytes, GetParam().MaxSavedBytes});
  EXPECT_EQ(bounded.OmittedSaves, GetParam().Omitted);
  EXPECT_LE(bounded.Value.size(), GetParam().MaxBytes);
  JobProgress read = decodeProgress(bounded.Value).value();
  int without = 0;
  for (size_t i = 0; i < Tasks; ++i) {
    std::string &saved = read.Tasks[0][0][i].Saved;
    without += saved.empty() ? 1 : 0;
    saved = progress.Tasks[0][0][i].Saved;
  }
  EXPECT_EQ(without, GetParam().Omitted);
  EXPECT_EQ(read, progress);
}

INSTANTIATE_TEST_SUITE_P(
    Table, LongSavedProgress,
    testing::Values(SavedCase{"Fits", 62'000, 62'000, 0},
                    SavedCase{"OneTooMany", 61'000, 62'000, 1},
                    SavedCase{"Half", 31'000, 62'000, 50},
                    SavedCase{"All", 1'200, 62'000, 100},
                    SavedCase{"OneSavedTooMany", 62'000, 60'000, 1},
                    SavedCase{"HalfOfTheSaved", 62'000, 30'400, 50},
                    SavedCase{"NoneSaved", 62'000, 0, 100}),
    [](const auto &info) { return info.param.Name; });

// A task with all that can be known of one at a time, with long names.
TaskProgress eventfulTask(int index, int failedRuns) {
  const std::string name(36, static_cast<char>('a' + index % 20));
  TaskProgress task;
  task.Run = failedRuns + 1;
  task.Failed = failedRuns;
  task.Worker = {"i-" + name, 1'700'000'000'000};
  task.Agent = "side-" + name;
  task.Saved = std::string(8000, 's');
  task.CrashedAt = {"side-" + name, "side-" + name};
  task.LateStarts = {{"i-" + name, "side-" + name, task.Run}};
  for (int run = 1; run <= failedRuns; ++run)
    task.FailedRuns.push_back(run);
  return task;
}

class LargestProgress : public testing::TestWithParam<int> {};

// Guards against a job that stands still for good, because all that is known of
// its tasks is more than the store takes.
TEST_P(LargestProgress, FitsIntoTheStore) {
  constexpr int Occurrences = 64;
  constexpr size_t Tasks = core::MaxTasksPerJob / Occurrences;
  JobProgress progress{3, JobState::Running, {}};
  for (int n = 0; n < Occurrences; ++n) {
    StepProgress step(Tasks);
    for (size_t i = 0; i < Tasks; ++i)
      step[i] = eventfulTask(static_cast<int>(i), GetParam());
    progress.Tasks[15 * n] = {step};
    progress.DoneOccurrences.insert(15 * n + 1, 15 * n + 13);
  }
  const BoundedProgress bounded =
      encodeWithin(progress, {platform::MaxValueBytes, 64 * 1024});
  EXPECT_LE(bounded.Value.size(), platform::MaxValueBytes);
  const JobProgress read = decodeProgress(bounded.Value).value();
  const TaskProgress task = *read.Tasks.at(0)[0].find(0);
  EXPECT_EQ(task.Failed, GetParam()) << "failed runs are still counted";
  EXPECT_EQ(task.LateStarts.size(), 1u);
  EXPECT_EQ(task.CrashedAt.size(), 2u);
}

INSTANTIATE_TEST_SUITE_P(Attempts, LargestProgress,
                         testing::Values(0, 3, 9, 100),
                         testing::PrintToStringParamName());

struct OddCase {
  const char *Name;
  std::string Bytes;
};

void PrintTo(const OddCase &c, std::ostream *out) { *out << c.Name; }

bool isRefused(const std::function<utils::Result<void>()> &decode) {
  return utils::handle<bool>(
      [&]() -> utils::Result<bool> {
        BOOST_LEAF_CHECK(decode());
        return false;
      },
      [](const utils::Error &e) {
        EXPECT_EQ(e.Kind, utils::ErrorKind::BadMessage);
        EXPECT_LT(e.text().size(), 400u);
        return true;
      });
}

class OddValues : public testing::TestWithParam<OddCase> {};

// Guards against values of another writer that end the entries that read them.
TEST_P(OddValues, AreRefused) {
  EXPECT_TRUE(isRefused([]() -> utils::Result<void> {
    BOOST_LEAF_CHECK(decodeRecord(GetParam().Bytes));
    return {};
  }));
  EXPECT_TRUE(isRefused([]() -> utils::Result<void> {
    BOOST_LEAF_CHECK(decodeProgress(GetParam().Bytes));
    return {};
  }));
}

const OddCase OddValueCases[] = {
    {"empty", ""},
    {"byte_ff", "\xff"},
    {"json", "{}"},
    {"list", cborOf({1, 2})},
    {"very_deep", std::string(900000, '\x81') + '\x80'},
    {"text_not_utf8", recordWith("text", "\xff")},
    {"steps_are_no_list", recordWith("steps", 5)},
    {"address_is_text", recordWith("at", "host/path")},
    {"address_has_no_path", recordWith("at", {"host", "/jobs/"})},
    {"address_of_numbers", recordWith("at", {1, 2, 3})},
    {"state_beyond_the_last", progressWith("state", 5)},
    {"state_negative", progressWith("state", -1)},
    {"occurrence_negative",
     progressWith("tasks", {{-1, nlohmann::json::array()}})},
    {"occurrence_beyond_the_last",
     progressWith("tasks", {{core::MaxRepeats, nlohmann::json::array()}})},
    {"more_tasks_than_allowed",
     progressWith(
         "tasks",
         {{0, {nlohmann::json(std::vector<int>(core::MaxTasksPerJob + 1))}}})},
    {"places_are_no_list", progressWith("places", 5)},
    {"stall_timeouts_are_no_list", progressWith("stall_ms", 5)},
    {"stall_timeout_is_text", progressWith("stall_ms", {{0, "5200"}})},
    {"stall_timeout_negative", progressWith("stall_ms", {{0, -1}})},
    {"stall_timeout_too_long",
     progressWith("stall_ms", {{0, core::MaxAmount + 1}})},
    {"stall_timeout_of_no_step",
     progressWith("stall_ms", {{core::MaxStepsPerJob, 5200}})},
};

INSTANTIATE_TEST_SUITE_P(Table, OddValues, testing::ValuesIn(OddValueCases),
                         [](const auto &info) { return info.param.Name; });

struct SpecCase {
  const char *Name;
  std::function<void(core::JobSpec &)> Change;
  bool IsValid;
};

void PrintTo(const SpecCase &c, std::ostream *out) { *out << c.Name; }

class Specs : public testing::TestWithParam<SpecCase> {};

// Guards against amounts whose sums overflow, so that a job appears to fit into
// a worker that is far too small.
TEST_P(Specs, AreValidOrRefusedWithAReason) {
  core::JobSpec spec;
  spec.Id = "j";
  spec.Steps.resize(2);
  GetParam().Change(spec);
  EXPECT_EQ(core::validate(spec).empty(), GetParam().IsValid)
      << core::validate(spec);
}

constexpr int64_t Largest = std::numeric_limits<int64_t>::max();
constexpr int64_t Smallest = std::numeric_limits<int64_t>::min();

const SpecCase SpecCases[] = {
    {"plain", [](core::JobSpec &) {}, true},
    {"largest_amount",
     [](core::JobSpec &s) { s.Steps[0].PerTask.MilliCores = core::MaxAmount; },
     true},
    {"cores_out_of_range",
     [](core::JobSpec &s) { s.Steps[0].PerTask.MilliCores = Largest / 2; },
     false},
    {"memory_out_of_range",
     [](core::JobSpec &s) { s.Steps[1].PerTask.MemoryMb = Largest; }, false},
    {"accelerators_out_of_range",
     [](core::JobSpec &s) { s.Steps[1].PerTask.Accelerators = Largest; },
     false},
    {"estimate_out_of_range",
     [](core::JobSpec &s) { s.Steps[0].EstimateMs = Largest; }, false},
    {"target_out_of_range",
     [](core::JobSpec &s) { s.Steps[0].TargetMs = Largest; }, false},
    {"due_far_in_the_past",
     [](core::JobSpec &s) {
       s.Repeats = 2;
       s.FirstDueMs = Smallest;
     },
     false},
    {"interval_out_of_range",
     [](core::JobSpec &s) {
       s.Repeats = 2;
       s.IntervalMs = Largest;
     },
     false},
    {"as_many_tasks_as_allowed",
     [](core::JobSpec &s) {
       s.Steps[0].Count = core::MaxTasksPerJob - 1;
       s.Repeats = 16;
     },
     true},
    {"too_many_tasks_of_all_occurrences",
     [](core::JobSpec &s) {
       s.Steps[0].Count = core::MaxTasksPerJob - 1;
       s.Repeats = 17;
     },
     false},
    {"long_label",
     [](core::JobSpec &s) {
       s.Steps[0].NeedsLabel = std::string(core::MaxNameBytes + 1, 'x');
     },
     false},
};

class SpecsOfEarlierVersions : public testing::TestWithParam<SpecCase> {};

// Guards against accepted jobs that are unknown after an update, as the new
// version accepts no such jobs any more.
TEST_P(SpecsOfEarlierVersions, StayUsable) {
  core::JobSpec spec;
  spec.Id = "j";
  spec.Steps.resize(2);
  GetParam().Change(spec);
  EXPECT_EQ(core::validateStored(spec), "");
  EXPECT_EQ(core::validate(spec).empty(), GetParam().IsValid);
}

INSTANTIATE_TEST_SUITE_P(
    Table, SpecsOfEarlierVersions,
    testing::Values(SpecCase{"plain", [](core::JobSpec &) {}, true},
                    SpecCase{"long_label",
                             [](core::JobSpec &s) {
                               s.Steps[0].NeedsLabel =
                                   std::string(core::MaxNameBytes + 1, 'l');
                             },
                             false},
                    SpecCase{"many_occurrences",
                             [](core::JobSpec &s) {
                               s.Steps[0].Count = 100;
                               s.Repeats = core::MaxRepeats;
                             },
                             false}),
    [](const auto &info) { return info.param.Name; });

INSTANTIATE_TEST_SUITE_P(Table, Specs, testing::ValuesIn(SpecCases),
                         [](const auto &info) { return info.param.Name; });

} // namespace
} // namespace oriolebay::jobs
