#include "processrunner.h"

#include "utils/jsontext.h"

#include <absl/strings/str_cat.h>
#include <prometheus/exposer.h>
#include <prometheus/gauge.h>
#include <prometheus/registry.h>

#include <csignal>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <map>
#include <memory>

namespace oriolebay::app {

namespace {
sigset_t stopSignals() {
  sigset_t set;
  sigemptyset(&set);
  sigaddset(&set, SIGTERM);
  sigaddset(&set, SIGINT);
  return set;
}
} // namespace

bool parseCommandLine(
    int argc, char **argv, const std::string &program,
    const boost::program_options::options_description &opts,
    const boost::program_options::positional_options_description &pos,
    boost::program_options::variables_map &vm) {
  namespace po = boost::program_options;
  try {
    po::store(
        po::command_line_parser(argc, argv).options(opts).positional(pos).run(),
        vm);
    po::notify(vm);
    return true;
  } catch (const po::error &e) {
    std::cerr << program << ": " << e.what() << " (remedy: see --help)\n";
    return false;
  }
}

void blockStopSignals() {
  sigset_t set = stopSignals();
  sigaddset(&set, SIGHUP);
  sigaddset(&set, SIGUSR1);
  // A connection that was closed by its peer is reported as an error of the
  // write.
  std::signal(SIGPIPE, SIG_IGN);
  pthread_sigmask(SIG_BLOCK, &set, nullptr);
}

void waitForStop(int metricsPort, const std::string &prefix,
                 const std::function<nlohmann::json()> &sample) {
  auto registry = std::make_shared<prometheus::Registry>();
  std::unique_ptr<prometheus::Exposer> exposer;
  if (metricsPort > 0) {
    exposer = std::make_unique<prometheus::Exposer>(
        "127.0.0.1:" + std::to_string(metricsPort));
    exposer->RegisterCollectable(registry);
  }
  std::map<std::string, prometheus::Gauge *> gauges;
  sigset_t set = stopSignals();
  const timespec period{1, 0};
  while (sigtimedwait(&set, nullptr, &period) < 0) {
    const nlohmann::json snapshot = sample();
    for (const auto &[key, value] : snapshot.items()) {
      if (!value.is_number())
        continue;
      auto &g = gauges[key];
      if (g == nullptr)
        g = &prometheus::BuildGauge()
                 .Name(absl::StrCat(prefix, "_", key))
                 .Help("see docs/OPERATIONS.md")
                 .Register(*registry)
                 .Add({});
      g->Set(value.get<double>());
    }
  }
}

void writeReadyFile(const std::string &path, const nlohmann::json &text) {
  if (path.empty())
    return;
  const std::string tmp = path + ".tmp";
  {
    std::ofstream out(tmp);
    out << utils::toJsonText(text) << '\n';
  }
  std::rename(tmp.c_str(), path.c_str());
}

} // namespace oriolebay::app
