#include "activity.h"

#include "text.h"

#include <boost/core/demangle.hpp>

#include <typeinfo>
#include <utility>

namespace oriolebay::utils {

namespace {

struct LeftScope {
  std::string Kind;
  std::string Subject;
};

/// The innermost scope that an exception has left.
LeftScope &leftScope() {
  static thread_local LeftScope scope;
  return scope;
}

} // namespace

ActivityScope::ActivityScope(std::string_view kind, std::string_view subject)
    : Kind(kind), Subject(subject),
      ExceptionsBefore(std::uncaught_exceptions()) {}

ActivityScope::~ActivityScope() {
  if (std::uncaught_exceptions() > ExceptionsBefore && leftScope().Kind.empty())
    leftScope() = {std::string(Kind), excerpt(Subject)};
}

std::string Failure::text() const {
  std::string out = Type + ": " + Text;
  if (!Activity.empty())
    out += " (while handling the " + Activity + " " + Subject + ")";
  return out;
}

Failure describeFailure() {
  LeftScope scope = std::exchange(leftScope(), {});
  Failure failure{"unknown", "", std::move(scope.Kind),
                  std::move(scope.Subject)};
  try {
    throw;
  } catch (const std::exception &e) {
    failure.Type = boost::core::demangle(typeid(e).name());
    failure.Text = excerpt(e.what());
  } catch (...) {
    failure.Text = "an exception of no standard type";
  }
  return failure;
}

} // namespace oriolebay::utils
