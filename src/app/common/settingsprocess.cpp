#include "settingsprocess.h"

#include "eventlog/eventlog.h"
#include "settings/settings.h"
#include "utils/activity.h"

#include <iostream>
#include <optional>
#include <stdexcept>

namespace oriolebay::app {

using eventlog::Event;
using eventlog::logEvent;

namespace {

constexpr int ExitFailed = 1;
constexpr int ExitBadSettings = 2;

utils::Result<std::function<void()>>
startProcess(const StartProcess &start,
             const settings::NodeSettings &settings) {
  try {
    return start(settings);
  } catch (const std::runtime_error &e) {
    return utils::fail(utils::ErrorKind::BadSettings, e.what(),
                       "free the address or change it");
  }
}

// Returns the exception that has ended the serving, if one has. The state of
// the process is unknown then, so that it ends: its host starts it again from
// what the store holds.
std::optional<utils::Failure>
serveUntilStop(const std::function<void()> &serve) {
  try {
    serve();
    return std::nullopt;
  } catch (...) {
    const utils::Failure failure = utils::describeFailure();
    logEvent(Event::ProcessFailed, {{"type", failure.Type},
                                    {"error", failure.Text},
                                    {"activity", failure.Activity},
                                    {"subject", failure.Subject}});
    return failure;
  }
}

} // namespace

int runWithSettings(const std::string &role, const std::string &path,
                    const StartProcess &start) {
  return utils::handle<int>(
      [&]() -> utils::Result<int> {
        BOOST_LEAF_AUTO(text, settings::readFile(path));
        BOOST_LEAF_AUTO(s, settings::parseNodeSettings(text));
        BOOST_LEAF_CHECK(eventlog::initEventLog(s.Name, ""));
        logEvent(
            Event::ProcessStarted,
            {{"role", role}, {"settings", path}, {"domain", s.FailureDomain}});
        BOOST_LEAF_AUTO(serve, startProcess(start, s));
        const std::optional<utils::Failure> failure = serveUntilStop(serve);
        eventlog::closeEventLog();
        if (!failure)
          return 0;
        std::cerr << "oriolebay-" + role + ": " + failure->text() +
                         " (remedy: report it with the event log)\n";
        return ExitFailed;
      },
      [&](const utils::Error &e) {
        std::cerr << "oriolebay-" << role << ": " << e.text() << '\n';
        return ExitBadSettings;
      });
}

void logListener(const std::string &role, const std::string &address) {
  logEvent(Event::ListenerBound, {{"role", role}, {"address", address}});
}

void logListener(const std::string &role, int port) {
  logEvent(Event::ListenerBound, {{"role", role}, {"port", port}});
}

void logRefusedMessage(const utils::RefusedMessage &message) {
  logEvent(Event::MessageRefused, {{"kind", message.Kind},
                                   {"subject", message.Subject},
                                   {"bytes", message.Bytes},
                                   {"why", message.Why}});
}

void logRepeatedRequest(const http::RepeatedRequest &request) {
  logEvent(Event::RequestRepeated, {{"method", request.Method},
                                    {"host", request.Host},
                                    {"path", request.Path},
                                    {"copies", request.Copies},
                                    {"status", request.Status},
                                    {"error", request.Error}});
}

} // namespace oriolebay::app
