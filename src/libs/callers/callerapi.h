#pragma once

#include "core/answer.h"
#include "core/job.h"
#include "http/httpserver.h"

#include <nlohmann/json.hpp>

#include <functional>
#include <memory>
#include <string>

namespace oriolebay::callers {

/// HTTP interface for callers. POST /v1/jobs accepts a JobRequest in JSON and
/// answers with the JobAnswer for it once the job has ended or the system has
/// given up on it (then with Retry-After). DELETE /v1/jobs/ORGANISATION/ID
/// cancels a job; the caller that submitted it is notified by its answer. GET
/// /v1/stats returns the entry's counters; GET /healthz returns 200 as long as
/// the process answers calls.
class CallerApi {
public:
  using Submit = std::function<core::JobAnswer(const core::JobRequest &)>;
  /// What became of a cancellation. NotAccepted: no leader has it. Unknown: the
  /// leader did not answer and may have accepted it.
  enum class CancelResult { Accepted, NotAccepted, Unknown };
  /// Cancels an organisation's jobs with the given id.
  using Cancel = std::function<CancelResult(const std::string &organisation,
                                            const std::string &jobId)>;
  using Stats = std::function<nlohmann::json()>;

  /// Listens on host:port (port 0 picks a free one) for up to maxConnections
  /// callers, each of which keeps its connection until its job has ended.
  /// Throws std::runtime_error when the port cannot be bound.
  CallerApi(const std::string &host, int port, int maxConnections,
            Submit submit, Cancel cancel, Stats stats);

  int port() const { return Server->port(); }
  void stop() { Server->stop(); }

  /// Returns the HTTP status for answer: 200 when the job ran, 202 while it is
  /// in progress, 422 when it can never run, 400 for an invalid request, 503
  /// when it may run later.
  static int statusOf(const core::JobAnswer &answer);

private:
  static http::HttpServerOptions optionsFor(int maxConnections);
  http::HttpResponse serve(const http::HttpRequest &request);
  http::HttpResponse submitJob(const std::string &body);

  http::HttpResponse cancelJob(const std::string &path);

  Submit OnSubmit;
  Cancel OnCancel;
  Stats OnStats;
  std::unique_ptr<http::HttpServer> Server;
};

/// Validates a request before it is queued. Returns the reason why it is
/// invalid and what to fix; empty when it is valid.
std::string validate(const core::JobRequest &job);

/// Maximum number of members of a gang.
constexpr int MaxGangMembers = 128;

} // namespace oriolebay::callers
