#pragma once

#include <exception>
#include <string>
#include <string_view>

namespace oriolebay::utils {

/// What this thread works on, while the object exists: a kind of work and the
/// call, message or answer that it is about. An exception that leaves the scope
/// is described with it, see describeFailure().
class ActivityScope {
public:
  /// Both texts must outlive the scope.
  ActivityScope(std::string_view kind, std::string_view subject);
  ~ActivityScope();
  ActivityScope(const ActivityScope &) = delete;
  ActivityScope &operator=(const ActivityScope &) = delete;

private:
  const std::string_view Kind;
  const std::string_view Subject;
  const int ExceptionsBefore;
};

/// Why the work of a thread ended: the type and the text of the exception, and
/// the innermost ActivityScope that it left. Texts are bounded.
struct Failure {
  std::string Type;
  std::string Text;
  std::string Activity;
  std::string Subject;

  auto operator<=>(const Failure &) const = default;

  /// Returns all of it in one line.
  std::string text() const;
};

/// Describes the exception that is being handled, which has left the scopes of
/// this thread.
Failure describeFailure();

} // namespace oriolebay::utils
