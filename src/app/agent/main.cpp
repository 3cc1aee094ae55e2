#include "agent/agentservice.h"
#include "common/processrunner.h"
#include "eventlog/eventlog.h"
#include "jobscommand.h"
#include "settings/settings.h"
#include "utils/walltime.h"

#include <boost/program_options.hpp>

#include <iostream>

namespace po = boost::program_options;
using namespace oriolebay;

int main(int argc, char **argv) {
  app::blockStopSignals();
  po::options_description opts("oriolebay-agent jobs|serve --settings FILE");
  opts.add_options()("help", "this text")("settings", po::value<std::string>(),
                                          "agent settings (JSON)")(
      "drain-ms", po::value<int>()->default_value(30000),
      "how long a graceful stop waits for running tasks")(
      "command", po::value<std::string>(), "jobs or serve");
  po::positional_options_description pos;
  pos.add("command", 1);
  po::variables_map vm;
  if (!app::parseCommandLine(argc, argv, "oriolebay-agent", opts, pos, vm))
    return 2;
  if (vm.count("command") && vm.count("settings") &&
      vm["command"].as<std::string>() == "jobs")
    return agent::serveJobs(vm["settings"].as<std::string>());
  if (vm.count("help") || !vm.count("command") ||
      vm["command"].as<std::string>() != "serve" || !vm.count("settings")) {
    std::cout << opts << '\n';
    return vm.count("help") ? 0 : 2;
  }
  const std::string path = vm["settings"].as<std::string>();
  return utils::handle<int>(
      [&]() -> utils::Result<int> {
        BOOST_LEAF_AUTO(text, settings::readFile(path));
        BOOST_LEAF_AUTO(s, settings::parseAgentSettings(text));
        BOOST_LEAF_CHECK(eventlog::initEventLog(s.Worker.Id, s.LogPath));
        eventlog::logEvent(eventlog::Event::ProcessStarted,
                           {{"role", "agent"}, {"settings", path}});
        agent::AgentService service(s, absl::ToUnixNanos(utils::wallNow()));
        app::writeReadyFile(s.ReadyFile, {{"address", service.address()}});
        app::waitForStop(s.MetricsPort, "oriolebay_agent",
                         [&] { return service.stats(); });
        service.stop(absl::Milliseconds(vm["drain-ms"].as<int>()));
        eventlog::closeEventLog();
        return 0;
      },
      [](const utils::Error &e) {
        std::cerr << "oriolebay-agent: " << e.text() << '\n';
        return 2;
      });
}
