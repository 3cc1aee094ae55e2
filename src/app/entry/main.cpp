#include "common/processrunner.h"
#include "core/codec.h"
#include "entry/entryservice.h"
#include "eventlog/eventlog.h"
#include "jobscommand.h"
#include "logcommands.h"
#include "operators/profilestore.h"
#include "placement/placer.h"
#include "platform/kvclient.h"
#include "settings/settings.h"
#include "utils/jsontext.h"

#include <boost/program_options.hpp>

#include <iostream>

namespace po = boost::program_options;
using namespace oriolebay;

namespace {

constexpr long StoreTimeoutMs = 2000;

int fail(const utils::Error &e) {
  std::cerr << "oriolebay-entry: " << e.text() << '\n';
  return 2;
}

int serve(const std::string &settingsPath) {
  return utils::handle<int>(
      [&]() -> utils::Result<int> {
        BOOST_LEAF_AUTO(text, settings::readFile(settingsPath));
        BOOST_LEAF_AUTO(s, settings::parseEntrySettings(text));
        BOOST_LEAF_CHECK(eventlog::initEventLog(s.Name, s.LogPath));
        eventlog::logEvent(eventlog::Event::ProcessStarted,
                           {{"role", "entry"}, {"settings", settingsPath}});
        platform::KvClient kv(s.StoreUrl, StoreTimeoutMs);
        placement::Placer placer =
            s.Placer == "first_fit"
                ? placement::Placer(placement::placeFirstFit)
                : placement::Placer(placement::placePacked);
        entry::EntryService service(s, kv, placer);
        app::writeReadyFile(s.ReadyFile,
                            {{"http_port", service.httpPort()},
                             {"agent_address", service.agentAddress()}});
        app::waitForStop(s.MetricsPort, "oriolebay_entry",
                         [&] { return service.stats(); });
        service.stop();
        eventlog::closeEventLog();
        return 0;
      },
      [](const utils::Error &e) {
        eventlog::logEvent(eventlog::Event::SettingsRejected,
                           {{"error", e.text()}});
        return fail(e);
      });
}

int profileCommand(const std::vector<std::string> &args,
                   const po::variables_map &vm) {
  platform::KvClient kv(vm["store"].as<std::string>(), StoreTimeoutMs);
  const std::string verb = args.size() > 1 ? args[1] : "";
  return utils::handle<int>(
      [&]() -> utils::Result<int> {
        if (verb == "get") {
          BOOST_LEAF_AUTO(profiles, operators::readProfiles(kv));
          std::cout << nlohmann::json(profiles).dump(2) << '\n';
          return 0;
        }
        if (verb == "put" && vm.count("file")) {
          BOOST_LEAF_AUTO(text,
                          settings::readFile(vm["file"].as<std::string>()));
          BOOST_LEAF_AUTO(j, utils::parseJson(text));
          core::Profile p;
          try {
            p = j.get<core::Profile>();
          } catch (const nlohmann::json::exception &) {
            return utils::fail(utils::ErrorKind::BadSettings,
                               "the file is not a profile",
                               "see examples/brno/profile.json");
          }
          BOOST_LEAF_AUTO(version,
                          operators::writeProfile(
                              kv, p, vm["expect-version"].as<int64_t>()));
          std::cout << nlohmann::json(
                           {{"profile", p.Name}, {"version", version}})
                           .dump()
                    << '\n';
          return 0;
        }
        std::cerr << "usage: oriolebay-entry profile get|put --store URL "
                     "[--file F --expect-version N]\n";
        return 2;
      },
      [](const utils::Error &e) { return fail(e); });
}

} // namespace

int main(int argc, char **argv) {
  po::options_description opts("oriolebay-entry COMMAND [options]\n"
                               "commands: jobs, serve, profile get|put, "
                               "timeline FILE..., explain JOB FILE..., "
                               "losses FILE... (FILE - is standard input)");
  opts.add_options()("help",
                     "this text")("settings", po::value<std::string>(),
                                  "settings (JSON), for jobs and serve")(
      "store", po::value<std::string>()->default_value("http://127.0.0.1:2379"),
      "the platform store's URL, for profile")(
      "file", po::value<std::string>(), "profile file (JSON), for profile put")(
      "expect-version", po::value<int64_t>()->default_value(0),
      "the version the profile has now (0: a new profile)")(
      "args", po::value<std::vector<std::string>>(),
      "command and its arguments");
  entry::addLogOptions(opts);
  po::positional_options_description pos;
  pos.add("args", -1);
  po::variables_map vm;
  if (!app::parseCommandLine(argc, argv, "oriolebay-entry", opts, pos, vm))
    return 2;
  std::vector<std::string> args;
  if (vm.count("args"))
    args = vm["args"].as<std::vector<std::string>>();
  if (vm.count("help") || args.empty()) {
    std::cout << opts << '\n';
    return args.empty() && !vm.count("help") ? 2 : 0;
  }
  if (args[0] == "timeline")
    return entry::showTimeline(args, vm);
  if (args[0] == "explain")
    return entry::explainJob(args, vm);
  if (args[0] == "losses")
    return entry::showLosses(args, vm);
  // The commands below may start threads, which must not receive the stop
  // signals.
  app::blockStopSignals();
  if (args[0] == "serve" && vm.count("settings"))
    return serve(vm["settings"].as<std::string>());
  if (args[0] == "jobs" && vm.count("settings"))
    return entry::serveJobs(vm["settings"].as<std::string>());
  if (args[0] == "profile")
    return profileCommand(args, vm);
  std::cerr << "oriolebay-entry: unknown command " << args[0]
            << " (remedy: see --help)\n";
  return 2;
}
