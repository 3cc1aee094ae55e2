#include "configmonitor.h"

#include "eventlog/timeline.h"
#include "settings/nodesettings.h"

#include <cstdint>
#include <utility>

namespace oriolebay::testing_system {

namespace {

using nlohmann::json;

bool isDecided(const json &answer) {
  const std::string result = answer.value("result", "");
  return result != "not_done" && result != "open";
}

/// Judges the events of one entry, in their order.
class EntryJudge {
public:
  explicit EntryJudge(ConfigHistory &history) : History(history) {}

  void add(const json &event) {
    const std::string name = event.value("name", "");
    if (name == "run.placed" && event.contains("record_config_version")) {
      ++History.Starts;
      show(event.at("record_config_version"), event.at("up_ms"));
    }
    // The entry that has forwarded the call answers its caller.
    if (name == "call.answered" && isDecided(event) &&
        !event.value("forwarded", false))
      judge(event);
  }

private:
  void judge(const json &answer) {
    ++History.Answers;
    const int64_t version = answer.contains("served_config_version")
                                ? answer.at("served_config_version")
                                : answer.at("config_version");
    const int64_t answeredAtMs = answer.at("up_ms");
    const int64_t receivedAtMs =
        answeredAtMs - answer.at("took_ms").get<int64_t>();
    const int64_t shown =
        newestShownBy(receivedAtMs - settings::SiteBounds().ConfigRollbackMs);
    if (version < shown)
      History.Violations.push_back(
          answer.at("proc").get<std::string>() + " has shown version " +
          std::to_string(shown) +
          " and answers by an older one: " + answer.dump());
    show(version, answeredAtMs);
  }

  void show(int64_t version, int64_t atMs) {
    if (Shown.empty() || version > Shown.back().second)
      Shown.emplace_back(atMs, version);
  }

  int64_t newestShownBy(int64_t ms) const {
    int64_t newest = 0;
    for (const auto &[atMs, version] : Shown)
      if (atMs <= ms)
        newest = version;
    return newest;
  }

  ConfigHistory &History;
  /// Versions that are newer than all before, with the time at which they were
  /// shown.
  std::vector<std::pair<int64_t, int64_t>> Shown;
};

} // namespace

void addConfigHistory(const std::vector<std::string> &logPaths,
                      ConfigHistory &history) {
  EntryJudge judge(history);
  for (const eventlog::LoggedEvent &event :
       eventlog::readEvents(logPaths).Events)
    judge.add(event.Fields);
}

} // namespace oriolebay::testing_system
