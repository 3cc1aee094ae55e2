#pragma once

#include <boost/leaf.hpp>

#include <string>
#include <utility>

namespace oriolebay::utils {

/// Kinds of errors that a library reports to its callers.
enum class ErrorKind {
  BadSettings,
  StoreUnavailable,
  StoreConflict,
  StoreBadReply,
  NotFound,
  BadMessage,
  Transport,
  StaleVersion,
};

/// A typed error. Message describes what went wrong, and Remedy describes what
/// the reader of the message should do about it.
struct Error {
  ErrorKind Kind = ErrorKind::Transport;
  std::string Message;
  std::string Remedy;

  /// Returns message and remedy in one line, for logs and operators.
  std::string text() const { return Message + " (remedy: " + Remedy + ")"; }
};

/// A value or an Error, carried by Boost.LEAF.
template <class T> using Result = boost::leaf::result<T>;

/// Creates a new error of kind with its message and remedy.
inline boost::leaf::error_id fail(ErrorKind kind, std::string message,
                                  std::string remedy) {
  return boost::leaf::new_error(
      Error{kind, std::move(message), std::move(remedy)});
}

/// Runs body and converts an Error to the value that onError returns.
/// Exceptions are not errors: they pass through, because an exception that a
/// decoder has not turned into an Error means that the state of this process is
/// wrong.
template <class T, class Body, class OnError>
T handle(Body &&body, OnError &&onError) {
  boost::leaf::context<Error> context;
  auto activation = boost::leaf::activate_context(context);
  auto result = std::forward<Body>(body)();
  if (result)
    return std::move(result).value();
  const boost::leaf::error_id id = result.error();
  context.deactivate();
  return context.template handle_error<T>(
      id, [&](const Error &e) -> T { return onError(e); },
      [&]() -> T {
        return onError(Error{ErrorKind::Transport, "unexpected failure",
                             "report it with the event log"});
      });
}

} // namespace oriolebay::utils
