#pragma once

#include <boost/leaf.hpp>

#include <string>

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

/// Runs body and converts an Error to the value that onError returns. Any other
/// failure is converted to a Transport error, so that each failure is handled.
template <class T, class Body, class OnError>
T handle(Body &&body, OnError &&onError) {
  return boost::leaf::try_handle_all(
      std::forward<Body>(body), [&](const Error &e) -> T { return onError(e); },
      [&]() -> T {
        return onError(Error{ErrorKind::Transport, "unexpected failure",
                             "report it with the event log"});
      });
}

} // namespace oriolebay::utils
