#!/usr/bin/env bash
# Real processes under faults drawn by seed; see docs/TESTING.md.
# --seeds A..B [--seconds N] [--fronts N --engines N --clients N] [--profile NAME]
set -euo pipefail
cd "$(dirname "$0")/.."
exec python3 scripts/soak/run.py "$@"
