#include "eventlog.h"

#include "utils/boottime.h"
#include "utils/walltime.h"

#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/async_frontend.hpp>
#include <boost/log/sinks/bounded_fifo_queue.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/logger.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/make_shared.hpp>

#include <atomic>
#include <chrono>
#include <fstream>
#include <future>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <thread>

namespace oriolebay::eventlog {

namespace {

namespace sinks = boost::log::sinks;

/// Lines that may wait for their writer: some seconds of a busy process, about
/// half a megabyte.
constexpr size_t MostQueued = 2000;

/// How long the end of a process may wait for its last lines.
constexpr std::chrono::milliseconds FlushPatience{300};

std::atomic<int64_t> LeftOut{0};

/// Leaves a line out when the queue is full, and counts it. Boost.Log's queue
/// calls its overflow strategy by these names, so they keep its case.
struct DropAndCount {
  // NOLINTBEGIN(readability-identifier-naming)
  template <class Record, class Lock>
  bool on_overflow(const Record & /*record*/, Lock & /*lock*/) {
    ++LeftOut;
    return false;
  }
  void on_queue_space_available() {}
  void interrupt() {}
  // NOLINTEND(readability-identifier-naming)
};

using Backend = sinks::text_ostream_backend;
using Sink = sinks::asynchronous_sink<
    Backend, sinks::bounded_fifo_queue<MostQueued, DropAndCount>>;

/// Bounds how many lines of a kind are written in a second, and tells when
/// some were left out.
class RateLimit {
public:
  /// Whether a line of event may be written now; told is how many lines were
  /// left out since that was last said, when it is time to say it again.
  bool admit(Event event, absl::Time now, int64_t &told) {
    std::lock_guard<std::mutex> lock(Mu);
    ++Totals[event];
    const int64_t second = absl::ToUnixSeconds(now);
    if (second != Second) {
      Second = second;
      Written.clear();
      told = LeftOut - Told;
      Told = LeftOut;
    }
    if (++Written[event] <= MostLinesPerSecond)
      return true;
    ++LeftOut;
    return false;
  }

  std::map<Event, int64_t> totals() {
    std::lock_guard<std::mutex> lock(Mu);
    return Totals;
  }

private:
  std::mutex Mu;
  int64_t Second = 0;
  int64_t Told = 0;
  std::map<Event, int> Written;
  std::map<Event, int64_t> Totals;
};

struct Log {
  std::string Process;
  boost::shared_ptr<Sink> Out;
  boost::log::sources::logger_mt Source;
  RateLimit Limit;
};

// Never destroyed: threads may log until the process is gone.
Log *&instance() {
  static Log *log = nullptr;
  return log;
}

void write(Log &log, Event event, const nlohmann::json &fields) {
  nlohmann::json line = {
      {"ts_us", absl::ToUnixMicros(utils::wallNow())},
      {"up_ms", absl::ToUnixMillis(utils::bootNow())},
      {"proc", log.Process},
      {"event", static_cast<int>(event)},
      {"name", eventName(event)},
  };
  if (fields.is_object())
    for (const auto &[key, value] : fields.items())
      line[key] = value;
  // What a caller sent may hold bytes that are no text.
  BOOST_LOG(log.Source) << line.dump(-1, ' ', false,
                                     nlohmann::json::error_handler_t::replace);
}

} // namespace

utils::Result<void> initEventLog(const std::string &process,
                                 const std::string &path) {
  auto backend = boost::make_shared<Backend>();
  if (path.empty()) {
    backend->add_stream(
        boost::shared_ptr<std::ostream>(&std::cout, [](std::ostream *) {}));
  } else {
    auto file = boost::make_shared<std::ofstream>(path, std::ios_base::app);
    if (!file->is_open())
      return utils::fail(utils::ErrorKind::BadSettings,
                         "setting log_path: cannot write " + path,
                         "create its folder, or give a path that this process "
                         "may write");
    backend->add_stream(file);
  }
  backend->auto_flush(true);
  auto *log = new Log();
  log->Process = process;
  log->Out = boost::make_shared<Sink>(backend);
  log->Out->set_formatter(boost::log::expressions::stream
                          << boost::log::expressions::smessage);
  boost::log::core::get()->add_sink(log->Out);
  instance() = log;
  return {};
}

// Standard output may have a reader that does not read: the process ends all
// the same.
void closeEventLog() {
  Log *log = instance();
  if (log == nullptr)
    return;
  boost::log::core::get()->remove_sink(log->Out);
  auto flushed = std::make_shared<std::promise<void>>();
  std::thread([log, flushed] {
    log->Out->flush();
    flushed->set_value();
  }).detach();
  flushed->get_future().wait_for(FlushPatience);
}

void logEvent(Event event, const nlohmann::json &fields) {
  Log *log = instance();
  if (log == nullptr)
    return;
  int64_t told = 0;
  const bool admitted = log->Limit.admit(event, utils::bootNow(), told);
  if (told > 0)
    write(*log, Event::LogLinesLeftOut, {{"lines", told}});
  if (admitted)
    write(*log, event, fields);
}

std::map<Event, int64_t> eventCounts() {
  Log *log = instance();
  return log == nullptr ? std::map<Event, int64_t>() : log->Limit.totals();
}

int64_t linesLeftOut() { return LeftOut; }

} // namespace oriolebay::eventlog
