#pragma once

#include <gtest/gtest.h>

#include <cctype>
#include <filesystem>
#include <ostream>
#include <string>
#include <unistd.h>

namespace oriolebay::testnames {

/// Turns the description of a test case into a name that gtest accepts: letters
/// and digits are kept, everything else becomes an underscore.
inline std::string testNameFrom(const std::string &description) {
  std::string out;
  for (char ch : description)
    out += std::isalnum(static_cast<unsigned char>(ch)) != 0 ? ch : '_';
  return out;
}

/// A row of a table of tests. Its name is that of the test.
struct NamedRow {
  const char *Name = "";
};
inline void PrintTo(const NamedRow &row, std::ostream *out) {
  *out << row.Name;
}
/// Names the tests of a table by its rows.
inline constexpr auto rowName = [](const auto &info) {
  return std::string(info.param.Name);
};

/// Returns a directory for the processes that the running test starts. It is
/// unique to the test and its process.
inline std::string workDir() {
  const std::string name =
      testing::UnitTest::GetInstance()->current_test_info()->name();
  return std::filesystem::temp_directory_path() /
         ("oriolebay-test-" + std::to_string(getpid()) + "-" +
          testNameFrom(name));
}

} // namespace oriolebay::testnames
