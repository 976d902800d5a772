#!/usr/bin/env bash
# Installs, builds, and runs a small deployment on loopback.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/install.sh
scripts/build.sh >build-demo.log 2>&1 || { tail -50 build-demo.log; exit 1; }
exec python3 scripts/demo.py build
