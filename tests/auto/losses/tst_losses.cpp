#include "losses/lossreport.h"

#include <gtest/gtest.h>

#include <fstream>
#include <sstream>
#include <unistd.h>

namespace oriolebay::losses {
namespace {

/// Returns the history of a site with the events in \p text, which is read from
/// a log file as the commands do it.
SiteHistory historyIn(const std::string &text) {
  const std::string path =
      ::testing::TempDir() + "oriolebay-losses-" + std::to_string(::getpid());
  std::ofstream(path) << text;
  const eventlog::LogContents read = eventlog::readEvents({path});
  ::unlink(path.c_str());
  return historyOf(read.Events);
}

/// Returns one line of a log; \p atMs is the time of the event in milliseconds.
std::string eventLine(int64_t atMs, const std::string &name,
                      const std::string &fields,
                      const std::string &proc = "e1") {
  return "{\"ts_us\":" + std::to_string(atMs * 1000) +
         ",\"up_ms\":" + std::to_string(atMs) + ",\"proc\":\"" + proc +
         "\",\"name\":\"" + name + "\"" + (fields.empty() ? "" : "," + fields) +
         "}\n";
}

std::string submitEvent(int64_t atMs, const std::string &job,
                        const std::string &result = "ok", int durationMs = 10,
                        const std::string &why = "") {
  return eventLine(
      atMs, "call.answered",
      "\"call\":\"submit\",\"job\":\"" + job + "\",\"result\":\"" + result +
          "\",\"took_ms\":" + std::to_string(durationMs) +
          ",\"queue\":\"q\",\"organisation\":\"o\",\"priority\":0" +
          (why.empty() ? "" : ",\"why\":\"" + why + "\""));
}

std::string
deadlineEvent(int64_t atMs, const std::string &job,
              const std::string &asked = "1x1000m/100MB/1acc est=2000ms",
              const std::string &steps = "waves=1") {
  return eventLine(
      atMs, "job.promised",
      "\"job\":\"" + job +
          "\",\"queue\":\"q\",\"organisation\":\"o\",\"priority\":0,"
          "\"stretch_percent\":150,\"target_ms\":250,\"asked\":\"" +
          asked + "\",\"steps\":\"" + steps + "\"");
}

std::string runEvent(int64_t atMs, const std::string &what,
                     const std::string &task, int number,
                     const std::string &why = "",
                     const std::string &worker = "w1") {
  return eventLine(
      atMs, "run." + what,
      "\"job\":\"" + task.substr(0, task.find('.')) + "\",\"task\":\"" + task +
          "\",\"run\":" + std::to_string(number) + ",\"worker\":\"" + worker +
          "\",\"why\":\"" + why + "\"");
}

std::string jobEndedEvent(int64_t atMs, const std::string &job,
                          const std::string &why = "completed") {
  return eventLine(atMs, "job.ended",
                   "\"job\":\"" + job + "\",\"why\":\"" + why + "\"");
}

std::string resultReadEvent(int64_t atMs, const std::string &job) {
  return eventLine(atMs, "call.answered",
                   "\"call\":\"state\",\"job\":\"" + job +
                       "\",\"result\":\"ok\",\"state\":\"completed\"");
}

std::string pathText(const SiteHistory &site, const std::string &job) {
  std::ostringstream out;
  for (const Segment &s : criticalPath(site.Jobs.at(job), site))
    out << causeName(s.SegmentCause) << '='
        << absl::ToInt64Milliseconds(s.length()) << ' ';
  return out.str();
}

struct PathCase {
  const char *Name;
  std::string Log;
  /// The causes in order with their milliseconds, from the first call to the
  /// answer.
  std::string Path;
  Outcome Expected;
};

void PrintTo(const PathCase &c, std::ostream *out) { *out << c.Name; }

class Paths : public ::testing::TestWithParam<PathCase> {};

TEST_P(Paths, CoverTheTimeToTheAnswerWithoutGaps) {
  const SiteHistory site = historyIn(GetParam().Log);
  EXPECT_EQ(pathText(site, "j"), GetParam().Path);
  const Account account = accountOf(site.Jobs.at("j"), site);
  EXPECT_STREQ(outcomeName(account.Result), outcomeName(GetParam().Expected));
  absl::Time at = site.Jobs.at("j").FirstCall;
  for (const Segment &s : account.Path) {
    EXPECT_EQ(s.From, at);
    at = s.To;
  }
  EXPECT_EQ(at - site.Jobs.at("j").FirstCall, account.Took);
}

const std::string AcceptedJob =
    submitEvent(1010, "j") + deadlineEvent(1010, "j");

std::vector<PathCase> pathCases() {
  return {
      {"in_time",
       AcceptedJob + runEvent(1020, "placed", "j.0.0.0", 1) +
           runEvent(1030, "started", "j.0.0.0", 1) +
           runEvent(3030, "ended", "j.0.0.0", 1, "done") +
           jobEndedEvent(3030, "j") + resultReadEvent(3040, "j"),
       "accepting=10 waiting_for_room=10 starting=10 working=2000 showing=10 ",
       Outcome::InTime},
      {"waited_for_stops",
       AcceptedJob +
           runEvent(1500, "stopping", "other.0.0.0", 1,
                    "makes room for job j") +
           runEvent(3010, "placed", "j.0.0.0", 1) +
           runEvent(3020, "started", "j.0.0.0", 1) +
           runEvent(5020, "ended", "j.0.0.0", 1, "done") +
           jobEndedEvent(5020, "j") + resultReadEvent(5290, "j"),
       "accepting=10 waiting_for_room=490 waiting_for_stops=1510 starting=10 "
       "working=2000 showing=270 ",
       Outcome::Late},
      {"run_failed_on_a_worker_that_fails_others",
       AcceptedJob + runEvent(1020, "placed", "j.0.0.0", 1) +
           runEvent(1030, "started", "j.0.0.0", 1) +
           runEvent(1900, "placed", "k.0.0.0", 1) +
           runEvent(1910, "started", "k.0.0.0", 1) +
           runEvent(1930, "ended", "j.0.0.0", 1, "failed") +
           runEvent(1940, "ended", "k.0.0.0", 1, "failed") +
           runEvent(1950, "placed", "j.0.0.0", 2) +
           runEvent(1960, "started", "j.0.0.0", 2) +
           runEvent(4960, "ended", "j.0.0.0", 2, "done") +
           jobEndedEvent(4960, "j") + resultReadEvent(5960, "j"),
       "accepting=10 waiting_for_room=10 starting=10 run_failed=900 "
       "waiting_for_room=20 starting=10 working=3000 showing=1000 ",
       Outcome::Late},
      {"run_failed_by_its_own_fault_counts_as_necessary_work",
       AcceptedJob + runEvent(1020, "placed", "j.0.0.0", 1) +
           runEvent(1030, "started", "j.0.0.0", 1) +
           runEvent(1930, "ended", "j.0.0.0", 1, "failed") +
           runEvent(1950, "placed", "j.0.0.0", 2) +
           runEvent(1960, "started", "j.0.0.0", 2) +
           runEvent(4960, "ended", "j.0.0.0", 2, "done") +
           jobEndedEvent(4960, "j") + resultReadEvent(5960, "j"),
       "accepting=10 waiting_for_room=10 starting=10 run_failed=900 "
       "waiting_for_room=20 starting=10 working=3000 showing=1000 ",
       Outcome::InTime},
      {"checkpointed_work_is_not_lost",
       submitEvent(1010, "j") +
           deadlineEvent(1010, "j",
                         "1x1000m/100MB/1acc est=2000ms checkpoints") +
           runEvent(1010, "placed", "j.0.0.0", 1) +
           runEvent(1020, "started", "j.0.0.0", 1) +
           runEvent(2020, "stopping", "j.0.0.0", 1, "makes room for job k") +
           runEvent(2120, "ended", "j.0.0.0", 1, "stopped") +
           runEvent(2620, "placed", "j.0.0.0", 2) +
           runEvent(2620, "started", "j.0.0.0", 2) +
           runEvent(3620, "ended", "j.0.0.0", 2, "done") +
           jobEndedEvent(3620, "j"),
       "accepting=10 starting=10 working=1100 waiting_for_room=500 "
       "working=1000 ",
       Outcome::InTime},
      {"second_step_waits_for_the_slower_task_of_the_first",
       submitEvent(1000, "j", "ok", 0) +
           deadlineEvent(1000, "j",
                         "2x1000m/100MB/1acc est=1000ms; "
                         "1x1000m/100MB/1acc est=1000ms after=0",
                         "waves=1; waves=1 after=0") +
           runEvent(1000, "placed", "j.0.0.0", 1) +
           runEvent(1000, "started", "j.0.0.0", 1) +
           runEvent(1000, "placed", "j.0.0.1", 1, "", "w2") +
           runEvent(1000, "started", "j.0.0.1", 1, "", "w2") +
           runEvent(1900, "ended", "j.0.0.0", 1, "done") +
           runEvent(2000, "ended", "j.0.0.1", 1, "done", "w2") +
           runEvent(2100, "placed", "j.0.1.0", 1) +
           runEvent(2100, "started", "j.0.1.0", 1) +
           runEvent(3000, "ended", "j.0.1.0", 1, "done") +
           jobEndedEvent(3000, "j"),
       "working=1000 waiting_for_room=100 working=900 ", Outcome::InTime},
      {"waited_for_a_cordon",
       AcceptedJob +
           eventLine(1010, "step.waiting",
                     "\"job\":\"j\",\"why\":\"its capacity is in cordoned "
                     "failure domains\"") +
           runEvent(4010, "placed", "j.0.0.0", 1) +
           runEvent(4010, "started", "j.0.0.0", 1) +
           runEvent(6010, "ended", "j.0.0.0", 1, "done") +
           jobEndedEvent(6010, "j"),
       "accepting=10 waiting_for_cordon=3000 working=2000 ", Outcome::Late},
      {"wide_step_waits_for_its_own_tasks",
       submitEvent(1000, "j", "ok", 0) +
           deadlineEvent(1000, "j", "2x1000m/100MB/8acc est=1000ms",
                         "waves=2") +
           runEvent(1000, "placed", "j.0.0.0", 1) +
           runEvent(1000, "started", "j.0.0.0", 1) +
           runEvent(2000, "ended", "j.0.0.0", 1, "done") +
           runEvent(2000, "placed", "j.0.0.1", 1) +
           runEvent(2000, "started", "j.0.0.1", 1) +
           runEvent(3000, "ended", "j.0.0.1", 1, "done") +
           jobEndedEvent(3000, "j"),
       "own_waves=1000 working=1000 ", Outcome::InTime},
      {"leader_was_replaced",
       eventLine(100, "leader.elected", "\"epoch\":1", "e2") +
           eventLine(110, "worker.joined", "\"worker\":\"w1\"", "e2") +
           AcceptedJob +
           eventLine(1200, "leader.unreachable", "\"leader\":\"e2\"", "a1") +
           eventLine(2200, "leader.elected", "\"epoch\":2") +
           eventLine(2300, "worker.joined", "\"worker\":\"w1\"") +
           runEvent(2310, "placed", "j.0.0.0", 1) +
           runEvent(2310, "started", "j.0.0.0", 1) +
           runEvent(4310, "ended", "j.0.0.0", 1, "done") +
           jobEndedEvent(4310, "j"),
       "accepting=10 waiting_for_room=190 leader_change=1100 "
       "waiting_for_room=10 working=2000 ",
       Outcome::Late},
      {"store_was_unavailable_to_the_leader",
       eventLine(100, "leader.elected", "\"epoch\":1") +
           eventLine(110, "worker.joined", "\"worker\":\"w1\"") + AcceptedJob +
           eventLine(1010, "store.lost", "\"why\":\"timeout\"") +
           eventLine(4010, "store.regained", "\"why\":\"\"") +
           runEvent(4010, "placed", "j.0.0.0", 1) +
           runEvent(4010, "started", "j.0.0.0", 1) +
           runEvent(6010, "ended", "j.0.0.0", 1, "done") +
           jobEndedEvent(6010, "j"),
       "accepting=10 store_outage=3000 working=2000 ", Outcome::Late},
      {"accepted_at_the_third_call",
       submitEvent(1010, "j", "not_done") + submitEvent(2010, "j", "not_done") +
           submitEvent(3010, "j") + deadlineEvent(3010, "j") +
           runEvent(3010, "placed", "j.0.0.0", 1) +
           runEvent(3010, "started", "j.0.0.0", 1) +
           runEvent(5010, "ended", "j.0.0.0", 1, "done") +
           jobEndedEvent(5010, "j"),
       "accepting=2010 working=2000 ", Outcome::Late},
  };
}

INSTANTIATE_TEST_SUITE_P(Losses, Paths, ::testing::ValuesIn(pathCases()),
                         [](const auto &info) { return info.param.Name; });

struct WaitsCase {
  const char *Name;
  std::string Log;
  /// The reasons by name with their milliseconds.
  std::string Waits;
};

void PrintTo(const WaitsCase &c, std::ostream *out) { *out << c.Name; }

class WaitsByReason : public ::testing::TestWithParam<WaitsCase> {};

// Guards against waits that the losses put down to capacity although the
// leader knew of another reason.
TEST_P(WaitsByReason, AreThoseThatTheLeaderLogged) {
  const SiteHistory site = historyIn(GetParam().Log);
  std::ostringstream out;
  const Account account = accountOf(site.Jobs.at("j"), site);
  for (const auto &[reason, time] : account.Waits)
    out << reason << '=' << absl::ToInt64Milliseconds(time) << ' ';
  EXPECT_EQ(out.str(), GetParam().Waits);
  const Losses losses = lossesOf(site);
  EXPECT_EQ(losses.All.WaitsByReason, account.Waits);
}

std::string waitEvent(int64_t atMs, const std::string &reason, int reasonMs,
                      const std::string &name = "step.waiting") {
  return eventLine(atMs, name,
                   "\"job\":\"j\",\"task\":\"j.0.0.0\",\"reason\":\"" + reason +
                       "\",\"reason_ms\":" + std::to_string(reasonMs));
}

/// The job's only run, from its placement to its end.
std::string runEvents(int64_t placedAtMs) {
  return runEvent(placedAtMs, "placed", "j.0.0.0", 2) +
         runEvent(placedAtMs + 50, "started", "j.0.0.0", 2) +
         runEvent(placedAtMs + 2050, "ended", "j.0.0.0", 2, "done") +
         jobEndedEvent(placedAtMs + 2050, "j");
}

INSTANTIATE_TEST_SUITE_P(
    Losses, WaitsByReason,
    ::testing::Values(
        WaitsCase{"not_logged", AcceptedJob + runEvents(1110),
                  "not_logged=150 "},
        WaitsCase{"one_reason",
                  AcceptedJob + waitEvent(1010, "no_capacity", 0) +
                      runEvents(3010),
                  "no_capacity=2000 not_logged=50 "},
        WaitsCase{"reason_changes",
                  AcceptedJob + waitEvent(1020, "reserved", 0) +
                      waitEvent(4020, "rack_unusable", 1000) +
                      waitEvent(13020, "rack_unusable", 10000,
                                "step.waits_beside_free_workers") +
                      runEvents(14010),
                  "not_logged=60 rack_unusable=10990 reserved=2000 "},
        WaitsCase{"run_was_lost",
                  AcceptedJob + runEvent(1020, "placed", "j.0.0.0", 1) +
                      runEvent(1030, "started", "j.0.0.0", 1) +
                      waitEvent(5000, "unreported_worker", 1000) +
                      runEvent(22030, "settled", "j.0.0.0", 1) +
                      runEvents(22030),
                  "not_logged=70 unreported_worker=18030 "}),
    [](const auto &info) { return info.param.Name; });

// Guards against a late gang whose slow worker is not identified as the cause.
// Two of three workers have normal speed; the third takes about a third longer,
// so a gang that includes it is late.
TEST(Losses, SlowWorkersAreDetectedFromTasksOfOneStep) {
  std::string log = submitEvent(1000, "b", "ok", 0) +
                    deadlineEvent(1000, "b", "30x1000m/100MB/1acc est=1000ms");
  for (int i = 0; i < 30; ++i) {
    const std::string task = "b.0.0." + std::to_string(i);
    const std::string worker = "w" + std::to_string(i % 3);
    log += runEvent(1000, "started", task, 1, "", worker);
    log += runEvent(i % 3 == 2 ? 2300 : 2000, "ended", task, 1, "done", worker);
  }
  log += submitEvent(3000, "j", "ok", 0) +
         deadlineEvent(3000, "j", "2x1000m/100MB/1acc est=1000ms gang") +
         runEvent(3000, "placed", "j.0.0.0", 1, "", "w0") +
         runEvent(3000, "started", "j.0.0.0", 1, "", "w0") +
         runEvent(3000, "placed", "j.0.0.1", 1, "", "w2") +
         runEvent(3000, "started", "j.0.0.1", 1, "", "w2") +
         runEvent(4300, "ended", "j.0.0.0", 1, "done", "w0") +
         runEvent(4300, "ended", "j.0.0.1", 1, "done", "w2") +
         jobEndedEvent(4300, "j") + resultReadEvent(5000, "j");
  const SiteHistory site = historyIn(log);
  const Account account = accountOf(site.Jobs.at("j"), site);
  EXPECT_NEAR(absl::ToDoubleSeconds(account.Due), 1.75, 0.1);
  EXPECT_EQ(account.Result, Outcome::Late);
}

TEST(Losses, LostWorkIsAttributedToTheJobItWasDiscardedFor) {
  const SiteHistory site = historyIn(
      submitEvent(1000, "b", "ok", 0) +
      deadlineEvent(1000, "b", "1x2000m/100MB/1acc est=9000ms") +
      runEvent(1000, "placed", "b.0.0.0", 1) +
      runEvent(1000, "started", "b.0.0.0", 1) +
      submitEvent(3000, "j", "ok", 0) + deadlineEvent(3000, "j") +
      runEvent(3000, "stopping", "b.0.0.0", 1, "makes room for job j") +
      runEvent(3000, "ended", "b.0.0.0", 1, "stopped"));
  const std::vector<DiscardedWork> discardedWork =
      discardedWorkOf(site.Jobs.at("b"));
  ASSERT_EQ(discardedWork.size(), 1u);
  EXPECT_EQ(discardedWork[0].ForJob, "j");
  // Two cores and one accelerator, which counts as eight cores, for two
  // seconds.
  EXPECT_DOUBLE_EQ(discardedWork[0].CoreSeconds, 20);
  const Losses losses = lossesOf(site);
  EXPECT_EQ(
      losses.DiscardedWorkByReason,
      (std::map<std::string, double>{{"made room for priority 0", 20.0}}));
}

TEST(Losses, ReportsNameLateAndRefusedJobsWithTheirCauses) {
  const SiteHistory site = historyIn(
      AcceptedJob + submitEvent(1020, "r", "not_done", 10, "no store") +
      submitEvent(1030, "x", "bad_key") +
      runEvent(1020, "placed", "j.0.0.0", 1) +
      runEvent(1030, "started", "j.0.0.0", 1) +
      runEvent(3030, "ended", "j.0.0.0", 1, "done") + jobEndedEvent(3030, "j") +
      resultReadEvent(4500, "j"));
  const Losses losses = lossesOf(site);
  EXPECT_EQ(losses.All.owed(), 2);
  ASSERT_EQ(losses.Lost.size(), 2u);
  EXPECT_EQ(losses.Lost[0].mainCause(), Cause::Showing);
  EXPECT_EQ(losses.Lost[1].Result, Outcome::Refused);
  const nlohmann::json json = toJson(losses, site);
  EXPECT_EQ(json["lost"][0]["main_cause"], "showing");
  EXPECT_EQ(json["lost"][1]["call_why"], "no store");
  std::ostringstream text;
  printText(losses, site, text);
  EXPECT_NE(text.str().find("showing"), std::string::npos);
  std::ostringstream svg;
  printSvg(losses, site, svg);
  EXPECT_EQ(svg.str().rfind("<svg", 0), 0u);
}

} // namespace
} // namespace oriolebay::losses
