#pragma once

#include "http/httpclient.h"
#include "messages.h"

#include <string>
#include <vector>

namespace oriolebay::endpoints {

/// A gang member's task, as it is sent to the back end.
struct BackendTask {
  std::string JobId;
  std::string Run;
  int Member = 0;
  std::string Payload;
  std::string Saved;
  int64_t PowerLimitWatts = 0;
};

/// Answer of an endpoint's back end for one task.
struct BackendReply {
  TaskEnd End = TaskEnd::Failed;
  std::string Output;
  std::string Saved;
};

/// Calls the endpoint's back end over HTTP. Tasks run under a lease there: the
/// back end stops all tasks of this endpoint if renewLeases() was not called
/// for leaseMs milliseconds. Each thread needs its own client.
class BackendClient {
public:
  BackendClient(std::string url, std::string endpointId, long timeoutMs);

  /// Runs one task (POST /run) and waits until it has ended. If the back end
  /// does not answer, the task counts as failed and the output contains the
  /// error.
  BackendReply run(const BackendTask &task, int leaseMs);
  /// Asks the back end to checkpoint and stop one task (POST /stop); its run()
  /// call then returns Stopped. Returns false if the back end did not confirm.
  bool stop(const std::string &run, int member);
  /// Stops all tasks that a previous process of this endpoint left running.
  /// Returns false if the back end did not confirm.
  bool stopAll();
  /// Renews the lease of all tasks (POST /hold). Returns the running tasks with
  /// the power that each draws, or an empty list if the back end did not
  /// answer.
  std::vector<TaskStatus> renewLeases(int leaseMs);

private:
  const std::string Url;
  const std::string EndpointId;
  http::HttpClient Client;
};

} // namespace oriolebay::endpoints
