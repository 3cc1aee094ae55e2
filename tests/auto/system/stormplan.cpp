#include "stormplan.h"

#include <algorithm>
#include <random>

namespace oriolebay::testing_system {

namespace {

constexpr int StormEvents = 8;
/// Number of series in a second.
constexpr double SeriesRate = 2;
constexpr int MaxEventsPerSeries = 4;
/// Share of series whose events happen at once.
constexpr double AtOnceShare = 0.3;
/// Share of faults that all processes have.
constexpr double ForAllShare = 0.4;
constexpr int MinGapMs = 30;
constexpr int MaxGapMs = 700;
constexpr int MinLengthMs = 100;
constexpr int MaxLengthMs = 2500;

class PlanMaker {
public:
  PlanMaker(uint64_t seed, const StormSize &size) : Random(seed), Size(size) {}

  std::vector<StormStep> make() {
    const double series = absl::ToDoubleSeconds(Size.Length) * SeriesRate;
    for (int n = 0; n < series; ++n)
      addSeries();
    std::stable_sort(
        Plan.begin(), Plan.end(),
        [](const StormStep &a, const StormStep &b) { return a.At < b.At; });
    return Plan;
  }

private:
  int pick(int first, int last) {
    return std::uniform_int_distribution<>(first, last)(Random);
  }
  absl::Duration pickTime(int64_t firstMs, int64_t lastMs) {
    return absl::Milliseconds(
        pick(static_cast<int>(firstMs), static_cast<int>(lastMs)));
  }

  size_t pickProcess(StormEvent event) {
    const int first = event == StormEvent::WorkerRefuses ? Size.Entries : 0;
    const int end = event == StormEvent::StoreLosesJob
                        ? Size.Entries
                        : Size.Entries + Size.Agents;
    return static_cast<size_t>(pick(first, end - 1));
  }

  void addSeries() {
    const auto event = static_cast<StormEvent>(pick(0, StormEvents - 1));
    const bool isAtOnce = pick(1, 100) <= AtOnceShare * 100;
    absl::Duration at = pickTime(0, absl::ToInt64Milliseconds(Size.Length));
    for (int n = pick(1, MaxEventsPerSeries); n > 0; --n) {
      Plan.push_back({at, event, pickProcess(event),
                      pick(1, 100) <= ForAllShare * 100,
                      pickTime(MinLengthMs, MaxLengthMs)});
      if (!isAtOnce)
        at += pickTime(MinGapMs, MaxGapMs);
    }
  }

  std::mt19937_64 Random;
  const StormSize Size;
  std::vector<StormStep> Plan;
};

const char *nameOf(StormEvent event) {
  switch (event) {
  case StormEvent::StoreRefuses:
    return "store refuses";
  case StormEvent::StoreLosesJob:
    return "store loses the answer to a job, then refuses";
  case StormEvent::WorkerRefuses:
    return "worker refuses";
  case StormEvent::KeyRevoked:
    return "key revoked";
  case StormEvent::QueueDropped:
    return "queue dropped";
  case StormEvent::Terminated:
    return "SIGTERM";
  case StormEvent::Killed:
    return "SIGKILL";
  case StormEvent::Paused:
    return "SIGSTOP";
  }
  return "";
}

} // namespace

std::vector<StormStep> makeStormPlan(uint64_t seed, const StormSize &size) {
  return PlanMaker(seed, size).make();
}

std::string describe(const std::vector<StormStep> &plan) {
  std::string text;
  for (const StormStep &step : plan)
    text += absl::FormatDuration(step.At) + ": " + nameOf(step.Event) +
            ", process " + std::to_string(step.Process) +
            (step.IsForAll ? " or all" : "") + ", for " +
            absl::FormatDuration(step.Lasts) + "\n";
  return text;
}

} // namespace oriolebay::testing_system
