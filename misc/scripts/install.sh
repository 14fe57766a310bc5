#!/usr/bin/env bash
# Installs the packages that the build, the tests and the demo require on
# Debian 12, and those given as arguments.
set -euo pipefail
packages=(g++ cmake ninja-build pkg-config libboost-dev libboost-fiber-dev
  libboost-context-dev libthrift-dev libdocopt-dev libeasyloggingpp-dev
  libabsl-dev libcriterion-dev librapidcheck-dev libtomlplusplus-dev
  nlohmann-json3-dev rapidjson-dev libxxhash-dev libtins-dev libbenchmark-dev)
missing=()
for package in "${packages[@]}" "$@"; do
  dpkg-query -W -f='${Status}' "$package" 2>/dev/null |
    grep -q 'install ok installed' || missing+=("$package")
done
[ "${#missing[@]}" -eq 0 ] && exit 0
export DEBIAN_FRONTEND=noninteractive
privilege_command=()
[ "$(id -u)" -eq 0 ] || privilege_command=(sudo)
"${privilege_command[@]}" apt-get update -qq
"${privilege_command[@]}" apt-get install -y -qq --no-install-recommends "${missing[@]}" >/dev/null
