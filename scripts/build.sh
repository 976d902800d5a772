#!/usr/bin/env bash
# Configures and builds into build/, or into build-NAME/ with sanitizers:
#   scripts/build.sh [address|thread] [target...]
set -euo pipefail
cd "$(dirname "$0")/.."
dir=build
sanitize=""
case "${1:-}" in
  address) dir=build-address; sanitize=address,undefined; shift ;;
  thread) dir=build-thread; sanitize=thread; shift ;;
esac
cmake -S . -B "$dir" -G Ninja -DCHERVILWICK_SANITIZE="$sanitize" \
  -DCMAKE_CXX_COMPILER_LAUNCHER=ccache >"$dir-configure.log" 2>&1 ||
  { cat "$dir-configure.log"; exit 1; }
ninja -C "$dir" "$@"
