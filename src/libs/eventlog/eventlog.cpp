#include "eventlog.h"

#include "utils/boottime.h"
#include "utils/jsontext.h"
#include "utils/text.h"
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

/// Maximum number of lines that wait for the writer thread: some seconds of a
/// busy process, or about half a megabyte.
constexpr size_t MaxQueuedLines = 2000;

/// Maximum length of a field of a line: the summary of a large job.
constexpr size_t MaxFieldBytes = size_t{16} << 10;

/// Maximum time for which a process that ends waits for its last lines to be
/// written.
constexpr std::chrono::milliseconds FlushTimeout{300};

std::atomic<int64_t> DroppedLines{0};

/// Drops a line when the queue is full, and counts it. Boost.Log's queue calls
/// its overflow strategy by these names, which therefore do not follow the
/// naming rules of this project.
struct DropAndCount {
  // NOLINTBEGIN(readability-identifier-naming)
  template <class Record, class Lock>
  bool on_overflow(const Record & /*record*/, Lock & /*lock*/) {
    ++DroppedLines;
    return false;
  }
  void on_queue_space_available() {}
  void interrupt() {}
  // NOLINTEND(readability-identifier-naming)
};

using Backend = sinks::text_ostream_backend;
using Sink = sinks::asynchronous_sink<
    Backend, sinks::bounded_fifo_queue<MaxQueuedLines, DropAndCount>>;

/// Limits the number of lines that are written per second for each kind of
/// event, and reports the number of dropped lines.
class RateLimiter {
public:
  /// Counts event and returns whether its line may be written now. At the first
  /// event in a second, sets newlyDropped to the number of lines that were
  /// dropped since the last report.
  bool admit(Event event, absl::Time now, int64_t &newlyDropped) {
    std::lock_guard<std::mutex> lock(Mu);
    ++EventTotals[event];
    const int64_t second = absl::ToUnixSeconds(now);
    if (second != Second) {
      Second = second;
      LinesInSecond.clear();
      newlyDropped = DroppedLines - ReportedDropped;
      ReportedDropped = DroppedLines;
    }
    if (++LinesInSecond[event] <= MaxLinesPerSecond)
      return true;
    ++DroppedLines;
    return false;
  }

  /// Returns the number of events of each kind, including dropped ones.
  std::map<Event, int64_t> totals() {
    std::lock_guard<std::mutex> lock(Mu);
    return EventTotals;
  }

private:
  std::mutex Mu;
  int64_t Second = 0;
  int64_t ReportedDropped = 0;
  std::map<Event, int> LinesInSecond;
  std::map<Event, int64_t> EventTotals;
};

struct Log {
  std::string Process;
  boost::shared_ptr<Sink> Out;
  boost::log::sources::logger_mt Source;
  RateLimiter Limiter;
};

// Never destroyed, because threads may log until the process has exited.
Log *&instance() {
  static Log *log = nullptr;
  return log;
}

nlohmann::json boundedField(const nlohmann::json &value) {
  const auto *text = value.get_ptr<const std::string *>();
  if (text == nullptr || text->size() <= MaxFieldBytes)
    return value;
  return utils::excerpt(*text, MaxFieldBytes);
}

/// Queues one line with the common fields of all events and with fields.
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
      line[key] = boundedField(value);
  BOOST_LOG(log.Source) << utils::toJsonText(line);
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

// Flushes on a separate thread and waits for it only for FlushTimeout, because
// the process must end even when the reader of standard output is blocked.
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
  flushed->get_future().wait_for(FlushTimeout);
}

void logEvent(Event event, const nlohmann::json &fields) {
  Log *log = instance();
  if (log == nullptr)
    return;
  int64_t newlyDropped = 0;
  const bool admitted =
      log->Limiter.admit(event, utils::bootNow(), newlyDropped);
  if (newlyDropped > 0)
    write(*log, Event::LogLinesLeftOut, {{"lines", newlyDropped}});
  if (admitted)
    write(*log, event, fields);
}

std::map<Event, int64_t> eventCounts() {
  Log *log = instance();
  return log == nullptr ? std::map<Event, int64_t>() : log->Limiter.totals();
}

int64_t droppedLineCount() { return DroppedLines; }

} // namespace oriolebay::eventlog
