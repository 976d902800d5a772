#!/usr/bin/env bash
# Checks what the scripts of review/6 to 10 need. Their stand-ins are Python
# programs without dependencies (review/lib-2), so there is nothing to compile.
set -euo pipefail
cd "$(dirname "$0")"
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))' ||
  { echo "Python 3.11 or later is needed" >&2; exit 1; }
# Not into the folders of the sources.
export PYTHONPYCACHEPREFIX="${TMPDIR:-/tmp}/review-pycache-$UID"
python3 -m py_compile lib-2/*.py [6-9]/*.py $(ls 10/*.py 2>/dev/null || true)
