#!/usr/bin/env bash
# Installs all libraries and tools that the build and the tests need, from
# Debian. README and .ci/run both use this script, so that a new machine and CI
# have the same packages.
set -euo pipefail
export DEBIAN_FRONTEND=noninteractive
SUDO=""
if [ "$(id -u)" -ne 0 ]; then SUDO="sudo"; fi
$SUDO apt-get update -qq
$SUDO apt-get install -y -qq \
  cmake g++ make clang-format clang-tidy \
  libabsl-dev libnng-dev prometheus-cpp-dev libmicrohttpd-dev libcurl4-openssl-dev \
  libboost1.81-dev libboost-log1.81-dev libboost-program-options1.81-dev \
  nlohmann-json3-dev libgtest-dev libgmock-dev libbenchmark-dev >/dev/null
