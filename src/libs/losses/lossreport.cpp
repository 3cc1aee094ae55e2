#include "lossreport.h"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>

#include <algorithm>
#include <numeric>

namespace oriolebay::losses {

namespace {

double seconds(absl::Duration d) { return absl::ToDoubleSeconds(d); }

double toRoundedSeconds(absl::Duration d) {
  return static_cast<double>(absl::ToInt64Milliseconds(d)) / 1000;
}

/// Distributes the account's lateness over the causes of its time other than
/// work, in proportion to their time, and adds it to group.
void distributeLateness(const Account &account, Group &group) {
  absl::Duration timeBesidesWork = absl::ZeroDuration();
  for (const Segment &s : account.Path)
    if (s.SegmentCause != Cause::Working)
      timeBesidesWork += s.length();
  if (timeBesidesWork <= absl::ZeroDuration())
    return;
  const double latenessPerTime =
      absl::FDivDuration(account.lateness(), timeBesidesWork);
  for (const Segment &s : account.Path)
    if (s.SegmentCause != Cause::Working)
      group.LatenessByCause[s.SegmentCause] += s.length() * latenessPerTime;
}

/// Returns the reason why a run's work was discarded, without the ids in it.
std::string discardReason(const DiscardedWork &w, const SiteHistory &site) {
  if (!w.ForJob.empty()) {
    auto job = site.Jobs.find(w.ForJob);
    const int priority = job == site.Jobs.end() ? 0 : job->second.Priority;
    return absl::StrCat("made room for priority ", priority);
  }
  return w.Reason.empty() ? w.EndState : w.Reason;
}

void addToGroup(const Account &account, Group &group) {
  ++group.Jobs[account.Result];
  for (const auto &[reason, time] : account.Waits)
    group.WaitsByReason[reason] += time;
  if (account.Result == Outcome::Late || account.Result == Outcome::Worthless)
    distributeLateness(account, group);
}

std::string groupLine(const std::string &name, const Group &g) {
  auto jobs = [&](Outcome o) {
    auto it = g.Jobs.find(o);
    return it == g.Jobs.end() ? 0 : it->second;
  };
  return absl::StrFormat(
      "%-24s %5d %7d %5d %9d %7d %8d %9d %8.1f %9.0f\n", name, g.owed(),
      jobs(Outcome::InTime), jobs(Outcome::Late), jobs(Outcome::Worthless),
      jobs(Outcome::Failed), jobs(Outcome::Refused), jobs(Outcome::Cancelled),
      seconds(g.lateness()), g.DiscardedCoreSeconds);
}

template <class Map>
void printGroups(const char *title, const Map &groups, std::ostream &out) {
  out << absl::StrFormat("\n%-24s %5s %7s %5s %9s %7s %8s %9s %8s %9s\n", title,
                         "owed", "in time", "late", "worthless", "failed",
                         "refused", "cancelled", "late s", "wasted");
  for (const auto &[name, group] : groups)
    out << groupLine(absl::StrCat(name), group);
}

void printCauses(const Group &all, std::ostream &out) {
  std::vector<std::pair<absl::Duration, Cause>> causes;
  for (const auto &[cause, lateness] : all.LatenessByCause)
    causes.emplace_back(lateness, cause);
  std::sort(causes.rbegin(), causes.rend());
  out << "\nlateness by cause, s\n";
  for (const auto &[lateness, cause] : causes)
    out << absl::StrFormat("  %-24s %8.2f  %4.0f%%\n", causeName(cause),
                           seconds(lateness),
                           100 * absl::FDivDuration(lateness, all.lateness()));
}

void printWaits(const Group &all, std::ostream &out) {
  std::vector<std::pair<absl::Duration, std::string>> waits;
  for (const auto &[reason, time] : all.WaitsByReason)
    waits.emplace_back(time, reason);
  if (waits.empty())
    return;
  std::sort(waits.rbegin(), waits.rend());
  out << "\nwaits by reason, s\n";
  for (const auto &[time, reason] : waits)
    out << absl::StrFormat("  %-24s %8.2f\n", reason, seconds(time));
}

nlohmann::json waitsJson(const std::map<std::string, absl::Duration> &waits) {
  nlohmann::json out = nlohmann::json::object();
  for (const auto &[reason, time] : waits)
    out[reason] = toRoundedSeconds(time);
  return out;
}

/// Returns the critical path as "CAUSE=SECONDS CAUSE=SECONDS ...".
std::string pathText(const Account &account) {
  std::string out;
  for (const Segment &s : account.Path)
    absl::StrAppend(&out, out.empty() ? "" : " ", causeName(s.SegmentCause),
                    "=", absl::StrFormat("%.2f", seconds(s.length())));
  return out;
}

nlohmann::json groupJson(const Group &g) {
  nlohmann::json jobs = nlohmann::json::object();
  for (const auto &[outcome, n] : g.Jobs)
    jobs[outcomeName(outcome)] = n;
  nlohmann::json causes = nlohmann::json::object();
  for (const auto &[cause, lateness] : g.LatenessByCause)
    causes[causeName(cause)] = toRoundedSeconds(lateness);
  return {{"jobs", jobs},
          {"late_s", toRoundedSeconds(g.lateness())},
          {"late_s_by_cause", causes},
          {"wait_s_by_reason", waitsJson(g.WaitsByReason)},
          {"wasted_core_s", g.DiscardedCoreSeconds}};
}

template <class Map> nlohmann::json groupsJson(const Map &groups) {
  nlohmann::json out = nlohmann::json::object();
  for (const auto &[name, group] : groups)
    out[absl::StrCat(name)] = groupJson(group);
  return out;
}

/// Returns the colour of cause; the colours can be distinguished in print.
const char *colourOf(Cause cause) {
  static const std::vector<const char *> colours = {
      "#4c72b0", "#8c8c8c", "#64b5cd", "#dd8452", "#c44e52", "#da8bc3",
      "#937860", "#b0c4de", "#55a868", "#8172b3", "#a61c00", "#7f0000",
      "#e69f00", "#f0e442", "#cc79a7", "#999933", "#ccb974"};
  return colours[static_cast<size_t>(cause) % colours.size()];
}

} // namespace

int Group::owed() const {
  return std::accumulate(
      Jobs.begin(), Jobs.end(), 0, [](int sum, const auto &entry) {
        return sum + (isOwed(entry.first) ? entry.second : 0);
      });
}

absl::Duration Group::lateness() const {
  absl::Duration sum = absl::ZeroDuration();
  for (const auto &[cause, lateness] : LatenessByCause)
    sum += lateness;
  return sum;
}

Losses lossesOf(const SiteHistory &site) {
  Losses losses;
  for (const auto &[id, job] : site.Jobs) {
    // The logs contain no call for this job. They may only mention its id, for
    // example in the reason of a stop of another job's run.
    if (job.FirstCall == absl::InfiniteFuture())
      continue;
    const Account account = accountOf(job, site);
    const int64_t second = absl::ToInt64Seconds(job.FirstCall - site.From) /
                           WindowSeconds * WindowSeconds;
    for (Group *group :
         {&losses.All, &losses.ByQueue[job.Queue],
          &losses.ByOrganisation[job.Organisation],
          &losses.ByDomain[job.Domain], &losses.ByWindow[second]}) {
      addToGroup(account, *group);
      for (const DiscardedWork &w : discardedWorkOf(job))
        group->DiscardedCoreSeconds += w.CoreSeconds;
    }
    for (const DiscardedWork &w : discardedWorkOf(job))
      losses.DiscardedWorkByReason[discardReason(w, site)] += w.CoreSeconds;
    if (account.Result != Outcome::InTime && isOwed(account.Result))
      losses.Lost.push_back(account);
  }
  std::sort(losses.Lost.begin(), losses.Lost.end(),
            [&](const Account &a, const Account &b) {
              return site.Jobs.at(a.Job).FirstCall <
                     site.Jobs.at(b.Job).FirstCall;
            });
  return losses;
}

void printText(const Losses &losses, const SiteHistory &site,
               std::ostream &out) {
  std::map<std::string, Group> all = {{"all", losses.All}};
  printGroups("jobs", all, out);
  printGroups("queue", losses.ByQueue, out);
  printGroups("organisation", losses.ByOrganisation, out);
  printGroups("domain", losses.ByDomain, out);
  printGroups("from second", losses.ByWindow, out);
  printCauses(losses.All, out);
  printWaits(losses.All, out);
  out << "\nthrown away, core-seconds\n";
  for (const auto &[why, coreSeconds] : losses.DiscardedWorkByReason)
    out << absl::StrFormat("  %-50s %8.0f\n", why, coreSeconds);
  out << "\njobs that were lost or late\n";
  for (const Account &a : losses.Lost) {
    const JobHistory &job = site.Jobs.at(a.Job);
    out << absl::StrFormat(
        "%8.2f %s %s priority=%d %s due=%.2f took=%.2f %s%s\n",
        seconds(job.FirstCall - site.From), a.Job, job.Queue, job.Priority,
        outcomeName(a.Result), seconds(a.Due), seconds(a.Took), pathText(a),
        job.Accepted ? "" : absl::StrCat(job.CallResult, ": ", job.CallReason));
  }
}

nlohmann::json toJson(const Losses &losses, const SiteHistory &site) {
  nlohmann::json lost = nlohmann::json::array();
  for (const Account &a : losses.Lost) {
    const JobHistory &job = site.Jobs.at(a.Job);
    nlohmann::json path = nlohmann::json::array();
    for (const Segment &s : a.Path)
      path.push_back({{"cause", causeName(s.SegmentCause)},
                      {"from_s", toRoundedSeconds(s.From - site.From)},
                      {"to_s", toRoundedSeconds(s.To - site.From)}});
    lost.push_back({{"job", a.Job},
                    {"queue", job.Queue},
                    {"organisation", job.Organisation},
                    {"domain", job.Domain},
                    {"priority", job.Priority},
                    {"outcome", outcomeName(a.Result)},
                    {"at_s", toRoundedSeconds(job.FirstCall - site.From)},
                    {"due_s", toRoundedSeconds(a.Due)},
                    {"took_s", toRoundedSeconds(a.Took)},
                    {"main_cause", causeName(a.mainCause())},
                    {"call_result", job.CallResult},
                    {"call_why", job.CallReason},
                    {"wait_s_by_reason", waitsJson(a.Waits)},
                    {"path", path}});
  }
  return {{"all", groupJson(losses.All)},
          {"by_queue", groupsJson(losses.ByQueue)},
          {"by_organisation", groupsJson(losses.ByOrganisation)},
          {"by_domain", groupsJson(losses.ByDomain)},
          {"by_window", groupsJson(losses.ByWindow)},
          {"waste_core_s_by_reason", losses.DiscardedWorkByReason},
          {"lost", lost}};
}

void printSvg(const Losses &losses, const SiteHistory &site,
              std::ostream &out) {
  constexpr int Row = 16;
  constexpr int Left = 150;
  constexpr int Width = 900;
  const int legend = Row * (static_cast<int>(allCauses().size()) + 2);
  const int height = Row * (static_cast<int>(losses.Lost.size()) + 2) + legend;
  const double span = std::max(1.0, seconds(site.To - site.From));
  auto x = [&](absl::Time t) {
    return Left + seconds(t - site.From) / span * (Width - Left);
  };
  out << absl::StrFormat("<svg xmlns=\"http://www.w3.org/2000/svg\" "
                         "width=\"%d\" height=\"%d\" font-size=\"11\" "
                         "font-family=\"sans-serif\">\n",
                         Width, height);
  int y = Row;
  for (const Account &a : losses.Lost) {
    out << absl::StrFormat("<text x=\"4\" y=\"%d\">%s</text>\n", y + 11, a.Job);
    for (const Segment &s : a.Path)
      out << absl::StrFormat(
          "<rect x=\"%.1f\" y=\"%d\" width=\"%.1f\" height=\"%d\" "
          "fill=\"%s\"><title>%s %.2f s</title></rect>\n",
          x(s.From), y, std::max(0.5, x(s.To) - x(s.From)), Row - 4,
          colourOf(s.SegmentCause), causeName(s.SegmentCause),
          seconds(s.length()));
    const absl::Time due = site.Jobs.at(a.Job).FirstCall + a.Due;
    out << absl::StrFormat("<line x1=\"%.1f\" x2=\"%.1f\" y1=\"%d\" y2=\"%d\" "
                           "stroke=\"black\"/>\n",
                           x(due), x(due), y - 1, y + Row - 3);
    y += Row;
  }
  for (Cause cause : allCauses()) {
    y += Row;
    out << absl::StrFormat("<rect x=\"%d\" y=\"%d\" width=\"10\" "
                           "height=\"10\" fill=\"%s\"/><text x=\"%d\" "
                           "y=\"%d\">%s</text>\n",
                           Left, y, colourOf(cause), Left + 16, y + 10,
                           causeName(cause));
  }
  out << "</svg>\n";
}

} // namespace oriolebay::losses
