#!/usr/bin/env bash
# Installs the Debian packages that building and testing need.
set -euo pipefail
packages=(
  g++ cmake ninja-build pkg-config ccache clang clang-format clang-tidy curl git
  python3 libabsl-dev libcereal-dev prometheus-cpp-dev libyaml-cpp-dev
  libcpp-httplib-dev libssl-dev zlib1g-dev libbrotli-dev libgflags-dev
  liblog4cplus-dev libtrompeloeil-cpp-dev catch2 librapidcheck-dev
  libopentracing-dev nlohmann-json3-dev libxxhash-dev
  libevent-dev libhttp-parser-dev libsodium-dev
)
missing=()
for it in "${packages[@]}"; do
  dpkg-query -W -f='${Status}' "$it" 2>/dev/null | grep -q 'ok installed' ||
    missing+=("$it")
done
[ "${#missing[@]}" -eq 0 ] && exit 0
export DEBIAN_FRONTEND=noninteractive
apt-get update -qq
apt-get install -y -qq --no-install-recommends "${missing[@]}"
