#include "callerapi.h"

#include "core/codec.h"
#include "utils/jsontext.h"
#include "utils/text.h"

namespace oriolebay::callers {

using core::JobAnswer;
using core::NotRunReason;
using core::Outcome;

namespace {
const std::string JobPath = "/v1/jobs/";
/// Memory that the bodies of all requests may take together, and its part for
/// small ones.
constexpr size_t RequestBudgetBytes = size_t{32} << 20;
constexpr size_t SmallRequestsBytes = RequestBudgetBytes / 4;
/// Maximum number of JSON values of a request: far more than its fields.
constexpr size_t MaxRequestValues = 4096;
} // namespace

std::string validate(const core::JobRequest &job) {
  const core::Shape &s = job.GangShape;
  if (job.Id.empty())
    return "id is empty: give each request its own id";
  if (job.Organisation.empty() || job.Profile.empty())
    return "organisation and profile are required";
  if (s.Members < 1 || s.Members > MaxGangMembers)
    return "members must be between 1 and " + std::to_string(MaxGangMembers);
  if (s.AcceleratorsPerMember < 1)
    return "accelerators_per_member must be at least 1";
  if (s.PowerWattsPerMember < 0)
    return "power_watts_per_member must not be negative";
  if (!job.Idempotent && job.IdempotencyKey.empty())
    return "a non-idempotent request needs an idempotency_key";
  return {};
}

http::HttpServerOptions CallerApi::optionsFor(int maxConnections) {
  http::HttpServerOptions options;
  options.MaxConnections = maxConnections;
  options.Budget = std::make_shared<utils::MemoryBudget>(RequestBudgetBytes,
                                                         SmallRequestsBytes);
  return options;
}

CallerApi::CallerApi(const std::string &host, int port, int maxConnections,
                     Submit submit, Cancel cancel, Stats stats)
    : OnSubmit(std::move(submit)), OnCancel(std::move(cancel)),
      OnStats(std::move(stats)),
      Server(std::make_unique<http::HttpServer>(
          host, port, [this](const http::HttpRequest &r) { return serve(r); },
          optionsFor(maxConnections))) {}

int CallerApi::statusOf(const JobAnswer &answer) {
  switch (answer.Result) {
  case Outcome::Done:
  case Outcome::Failed:
    return 200;
  case Outcome::InProgress:
    return 202;
  case Outcome::NotRun:
    break;
  }
  switch (answer.Reason) {
  case NotRunReason::InvalidRequest:
    return 400;
  case NotRunReason::CanNeverFit:
    return 422;
  default:
    return 503;
  }
}

http::HttpResponse CallerApi::submitJob(const std::string &body) {
  JobAnswer answer;
  const auto parsed = utils::parseBoundedJson(body, MaxRequestValues);
  core::JobRequest job;
  std::string problem;
  try {
    if (!parsed)
      problem = "the body is not JSON";
    else
      job = parsed->get<core::JobRequest>();
  } catch (const nlohmann::json::exception &e) {
    problem =
        "the request does not match the schema: " + utils::excerpt(e.what());
  }
  if (problem.empty())
    problem = validate(job);
  if (!problem.empty()) {
    answer.JobId = job.Id;
    answer.Reason = NotRunReason::InvalidRequest;
    answer.Detail = problem;
  } else {
    answer = OnSubmit(job);
  }
  http::HttpResponse response{statusOf(answer), utils::toJsonText(answer)};
  if (answer.RetryAfterMs > 0)
    response.Headers["Retry-After"] =
        std::to_string((answer.RetryAfterMs + 999) / 1000);
  return response;
}

http::HttpResponse CallerApi::cancelJob(const std::string &path) {
  const size_t slash = path.find('/');
  if (slash == std::string::npos || slash == 0 || slash + 1 == path.size())
    return {400, R"({"error":"cancel a job as /v1/jobs/ORGANISATION/ID"})"};
  switch (OnCancel(path.substr(0, slash), path.substr(slash + 1))) {
  case CancelResult::Accepted:
    return {202, R"({"accepted":true})"};
  case CancelResult::Unknown:
    return {504, R"({"error":"the leader did not answer; try again"})"};
  case CancelResult::NotAccepted:
    break;
  }
  return {503, R"({"error":"no entry leads at present; try again"})"};
}

http::HttpResponse CallerApi::serve(const http::HttpRequest &request) {
  if (request.Method == "POST" && request.Path == "/v1/jobs")
    return submitJob(request.Body);
  if (request.Method == "DELETE" && request.Path.rfind(JobPath, 0) == 0)
    return cancelJob(request.Path.substr(JobPath.size()));
  if (request.Method == "GET" && request.Path == "/v1/stats")
    return {200, utils::toJsonText(OnStats())};
  if (request.Method == "GET" && request.Path == "/healthz")
    return {200, "{\"ok\":true}"};
  return {404, "{\"error\":\"no such path; see docs/OPERATIONS.md\"}"};
}

} // namespace oriolebay::callers
