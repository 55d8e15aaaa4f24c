#!/usr/bin/env bash
# Installs the Debian packages that building, testing and running need.
set -euo pipefail
packages=(g++ cmake ninja-build ccache clang-format clang-tidy clang libclang-rt-14-dev
  libcxxtools-dev libnng-dev libboost1.81-dev libabsl-dev liblog4cplus-dev doctest-dev librapidcheck-dev
  nlohmann-json3-dev libxxhash-dev libsodium-dev libbenchmark-dev)
missing=()
for package in "${packages[@]}"; do
  dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'install ok installed' && continue
  missing+=("$package")
done
[ ${#missing[@]} -eq 0 ] && exit 0
sudo=()
[ "$(id -u)" -eq 0 ] || sudo=(sudo)
"${sudo[@]}" apt-get update -qq
"${sudo[@]}" env DEBIAN_FRONTEND=noninteractive apt-get install -y -qq "${missing[@]}" >/dev/null
