#!/bin/sh
# Installs the build dependencies on a Debian 12 machine; run as root.
set -eu
export DEBIAN_FRONTEND=noninteractive
apt-get update -qq
apt-get install -y -qq --no-install-recommends \
    ca-certificates ccache clang-format clang-tidy cmake curl g++ git make ninja-build pkg-config \
    catch2 libboost1.81-dev libjsoncpp-dev libjsonrpccpp-dev libopentracing-dev \
    libpopt-dev libprotobuf-dev libspdlog-dev libssl-dev libtomlplusplus-dev >/dev/null
