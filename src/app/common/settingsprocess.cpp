#include "settingsprocess.h"

#include "eventlog/eventlog.h"
#include "settings/settings.h"

#include <iostream>
#include <stdexcept>

namespace oriolebay::app {

using eventlog::Event;
using eventlog::logEvent;

int runWithSettings(
    const std::string &role, const std::string &path,
    const std::function<void(const settings::NodeSettings &)> &run) {
  return utils::handle<int>(
      [&]() -> utils::Result<int> {
        BOOST_LEAF_AUTO(text, settings::readFile(path));
        BOOST_LEAF_AUTO(s, settings::parseNodeSettings(text));
        BOOST_LEAF_CHECK(eventlog::initEventLog(s.Name, ""));
        logEvent(
            Event::ProcessStarted,
            {{"role", role}, {"settings", path}, {"domain", s.FailureDomain}});
        try {
          run(s);
        } catch (const std::runtime_error &e) {
          return utils::fail(utils::ErrorKind::BadSettings, e.what(),
                             "free the address or change it");
        }
        eventlog::closeEventLog();
        return 0;
      },
      [&](const utils::Error &e) {
        std::cerr << "oriolebay-" << role << ": " << e.text() << '\n';
        return 2;
      });
}

} // namespace oriolebay::app
