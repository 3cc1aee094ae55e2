#pragma once

#include <string_view>

namespace oriolebay::http {

/// Tells whether the head of an answer has arrived completely. libcurl reports
/// an answer as complete, with its status and without a body, if the connection
/// ends within the head.
class AnswerHead {
public:
  /// The error text of an answer without a complete head.
  static constexpr const char *CutOffText =
      "the connection ended within the head of the answer";

  /// Adds a line of the head, with its end, as libcurl passes it to
  /// CURLOPT_HEADERFUNCTION.
  void addLine(std::string_view line) {
    if (line.substr(0, StatusLineBegin.size()) == StatusLineBegin)
      Complete = false;
    else if (line == "\r\n" || line == "\n")
      Complete = true;
  }
  bool isComplete() const { return Complete; }

private:
  static constexpr std::string_view StatusLineBegin = "HTTP/";

  bool Complete = false;
};

} // namespace oriolebay::http
