// The record of a case: what was sent, answered and run.
#pragma once

#include "net.h"

#include <cstdio>
#include <fstream>
#include <iostream>

namespace review {

class Record {
public:
  explicit Record(const std::string &path) : Out(path) {}

  void write(const std::string &line) {
    std::lock_guard<std::mutex> lock(Mu);
    char time[32];
    std::snprintf(time, sizeof time, "%8.3f ",
                  static_cast<double>(steadyMs() - StartedAt) / 1000);
    Out << time << line << std::endl;
  }

private:
  std::mutex Mu;
  std::ofstream Out;
  const int64_t StartedAt = steadyMs();
};

} // namespace review
