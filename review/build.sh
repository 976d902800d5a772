#!/bin/sh
# The stand-ins of the cases are Python programs: nothing is compiled. This
# checks that they can be read and that the front has been built.
set -e
cd "$(dirname "$0")/.."
for it in review/lib/*.py review/known-red/*.py review/*/case.py; do
  python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$it"
done
test -x target/chervilwick-front
