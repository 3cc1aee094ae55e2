#include "eventlog/timeline.h"

#include <gtest/gtest.h>

#include <fstream>
#include <sstream>
#include <unistd.h>

namespace oriolebay::eventlog {
namespace {

/// Logs of two entries and an agent. The wall clock of the first entry jumps by
/// an hour after its second line and back after the third. One line has a
/// prefix that a log collector has added.
const char *const Logs = R"(
{"ts_us":1000000,"up_ms":500,"proc":"e1","name":"process.started"}
{"ts_us":1100000,"up_ms":600,"proc":"e1","name":"call.answered","job":"j1","organisation":"o1","result":"ok"}
no event at all
12:00 e1 {"ts_us":3601300000,"up_ms":800,"proc":"e1","name":"run.placed","job":"j1","task":"j1.0.0.0","worker":"w1"}
{"ts_us":1500000,"up_ms":1000,"proc":"e1","name":"run.ended","job":"j1","task":"j1.0.0.0","worker":"w1"}
{"ts_us":1350000,"up_ms":90,"proc":"a1","name":"order.received","worker":"w1"}
{"ts_us":1360000,"up_ms":100,"proc":"a1","name":"order.carried_out","task":"j1.0.0.0","run":1}
{"ts_us":1370000,"up_ms":110,"proc":"a1","name":"worker.unreachable","worker":"w1"}
{"ts_us":1380000,"up_ms":70,"proc":"e2","name":"store.lost","why":"timeout"}
{"ts_us":1390000,"up_ms":80,"proc":"e2","name":"call.answered","job":"j2","organisation":"o2"}
{"ts_us":1395000,"up_ms":85,"proc":"e2","name":"worker.lost","worker":"w2"}
{"ts_us":1399000,"up_ms":89,"proc":"e2","name":"run.stopping","job":"j2","task":"j2.0.0.0","why":"makes room for job j1"}
{"ts_us":1900000,"up_ms":600,"proc":"e2","name":"leader.lost"}
)";

std::vector<LoggedEvent> sample(int *skipped = nullptr) {
  const std::string path =
      ::testing::TempDir() + "oriolebay-logs-" + std::to_string(::getpid());
  std::ofstream(path) << Logs;
  const LogContents read = readEvents({path});
  ::unlink(path.c_str());
  if (skipped != nullptr)
    *skipped = read.SkippedLines;
  return read.Events;
}

std::vector<std::string> names(const std::vector<LoggedEvent> &events) {
  std::vector<std::string> names;
  for (const LoggedEvent &e : events)
    names.push_back(e.Fields["name"]);
  return names;
}

// Guards against a time line in which a run is placed an hour after its end,
// because the wall clock of its entry jumped by an hour and back.
TEST(Timeline, EventsOfAProcessKeepTheirOrderWhenItsClockJumps) {
  int skipped = 0;
  const std::vector<LoggedEvent> events = sample(&skipped);
  EXPECT_EQ(skipped, 2);
  EXPECT_EQ(names(select(events, {"e1", "", "", "", {}, {}})),
            (std::vector<std::string>{"process.started", "call.answered",
                                      "run.placed", "run.ended"}));
  EXPECT_EQ(names(events).front(), "process.started");
  EXPECT_EQ(names(events).back(), "leader.lost");
}

// Guards against a time line that silently lacks the events of a process
// because the name of its log file was misspelt.
TEST(Timeline, UnreadableFilesAreReported) {
  const LogContents read = readEvents({"/no/such/file.log"});
  EXPECT_TRUE(read.Events.empty());
  EXPECT_EQ(read.UnreadableFiles,
            std::vector<std::string>{"/no/such/file.log"});
}

struct FilterCase {
  const char *Name;
  EventFilter Filter;
  std::vector<std::string> Names;
};

void PrintTo(const FilterCase &c, std::ostream *out) { *out << c.Name; }

class Filters : public ::testing::TestWithParam<FilterCase> {};

TEST_P(Filters, SelectTheMatchingEvents) {
  EXPECT_EQ(names(select(sample(), GetParam().Filter)), GetParam().Names);
}

const FilterCase FilterCases[] = {
    {"organisation", {"", "", "o2", "", {}, {}}, {"call.answered"}},
    {"worker", {"", "w2", "", "", {}, {}}, {"worker.lost"}},
    {"name",
     {"", "", "", "run.", {}, {}},
     {"run.placed", "run.stopping", "run.ended"}},
    {"time",
     {"", "", "", "", 1375000, 1392000},
     {"store.lost", "call.answered"}},
    {"nothing", {"e3", "", "", "", {}, {}}, {}},
};

INSTANTIATE_TEST_SUITE_P(Table, Filters, ::testing::ValuesIn(FilterCases),
                         [](const auto &info) { return info.param.Name; });

TEST(JobTimeline, HasOnlyEventsThatConcernTheJob) {
  EXPECT_EQ(
      names(eventsOfJob("j1", sample())),
      (std::vector<std::string>{"call.answered", "run.placed",
                                "order.carried_out", "worker.unreachable",
                                "store.lost", "run.stopping", "run.ended"}));
  EXPECT_TRUE(eventsOfJob("j3", sample()).empty());
}

// Guards against a job's time line that consists mostly of failed store calls:
// after an outage of the store, two of three lines were failed store calls of
// all processes.
TEST(JobTimeline, HasOneFailedStoreCallPerProcessAndOutage) {
  std::vector<LoggedEvent> events;
  const auto add = [&](int64_t ms, const char *process, const char *name,
                       const char *job = "") {
    events.push_back(
        {ms * 1000, {{"proc", process}, {"name", name}, {"job", job}}});
  };
  add(0, "e1", "call.answered", "j1");
  for (int64_t ms = 100; ms < 5000; ms += 300) {
    add(ms, "e1", "store.call_failed");
    add(ms + 1, "e2", "store.call_failed");
  }
  add(6000, "e1", "store.regained");
  add(6100, "e1", "store.call_failed");
  add(12000, "e2", "store.call_failed");
  add(13000, "e1", "job.ended", "j1");
  EXPECT_EQ(names(eventsOfJob("j1", events)),
            (std::vector<std::string>{"call.answered", "store.call_failed",
                                      "store.call_failed", "store.regained",
                                      "store.call_failed", "store.call_failed",
                                      "job.ended"}));
}

TEST(JobTimeline, IsPrintedAsText) {
  std::ostringstream out;
  printText(select(sample(), {"a1", "", "", "order.", {}, {}}), out);
  EXPECT_EQ(out.str(),
            "    0.000  a1  order.received  worker=w1\n"
            "    0.010  a1  order.carried_out  run=1  task=j1.0.0.0\n");
}

} // namespace
} // namespace oriolebay::eventlog
