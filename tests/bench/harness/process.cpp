#include "process.h"

#include <absl/time/clock.h>

#include <fcntl.h>
#include <spawn.h>
#include <stdexcept>
#include <sys/wait.h>

extern char **environ;

namespace oriolebay::bench {

namespace {
constexpr absl::Duration EndCheckInterval = absl::Milliseconds(2);
} // namespace

pid_t startProcess(const std::vector<std::string> &args,
                   const std::string &out) {
  std::vector<char *> argv;
  for (const std::string &a : args)
    argv.push_back(const_cast<char *>(a.c_str()));
  argv.push_back(nullptr);
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(&actions, 1, out.c_str(),
                                   O_WRONLY | O_CREAT | O_TRUNC, 0644);
  posix_spawn_file_actions_adddup2(&actions, 1, 2);
  pid_t pid = 0;
  int result =
      posix_spawn(&pid, argv[0], &actions, nullptr, argv.data(), environ);
  posix_spawn_file_actions_destroy(&actions);
  if (result != 0)
    throw std::runtime_error("cannot start " + args[0]);
  return pid;
}

bool waitForEnd(pid_t pid, absl::Time limit) {
  while (waitpid(pid, nullptr, WNOHANG) == 0) {
    if (absl::Now() > limit)
      return false;
    absl::SleepFor(EndCheckInterval);
  }
  return true;
}

} // namespace oriolebay::bench
