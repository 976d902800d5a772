#!/usr/bin/env bash
# Fuzzes for a while with one seed after the other, on all cores:
#   scripts/fuzz.sh --minutes N --seed S [--size STEPS]
# A failing seed is printed as one command that repeats it.
set -euo pipefail
cd "$(dirname "$0")/.."
minutes=1
seed=1
size=60
shrink_seconds=60  # a case may take minutes to shrink
while [ $# -gt 0 ]; do
  case "$1" in
    --minutes) minutes=$2; shift 2 ;;
    --seed) seed=$2; shift 2 ;;
    --size) size=$2; shift 2 ;;
    *) echo "usage: scripts/fuzz.sh --minutes N --seed S [--size STEPS]" >&2
       exit 2 ;;
  esac
done
program=build/unittests/fuzz_test
[ -x "$program" ] || scripts/build.sh fuzz_test
end=$(($(date +%s) + minutes * 60))
out=$(mktemp -d)

# Runs one seed after the other until time is up; stops at the first failure.
run_lane() {
  local lane=$1 step=$2 current runs=0 params
  current=$((seed + lane))
  while [ "$(date +%s)" -lt "$end" ]; do
    params="seed=$current max_success=100 max_size=$size noshrink=1"
    if ! RC_PARAMS="$params" "$program" >"$out/$current.log" 2>&1; then
      echo "fuzz: seed $current failed; repeat with:"
      echo "  RC_PARAMS=\"$params\" $program"
      tail -40 "$out/$current.log"
      echo "fuzz: shrinking for at most $shrink_seconds s"
      RC_PARAMS="${params% noshrink=1}" timeout "$shrink_seconds" "$program" |
        tail -40 || true
      return 1
    fi
    grep -h '^fuzz: ' "$out/$current.log" >>"$out/steps.$lane" || true
    runs=$((runs + 100))
    current=$((current + step))
  done
  echo "$runs" >"$out/runs.$lane"
}

lanes=$(nproc)
pids=()
for lane in $(seq 0 $((lanes - 1))); do
  run_lane "$lane" "$lanes" &
  pids+=($!)
done
status=0
for pid in "${pids[@]}"; do wait "$pid" || status=1; done
cat "$out"/steps.* 2>/dev/null | awk '
  {cases += $2; steps += $4; events += $6}
  END {printf "fuzz: %d cases, %d steps, %d events\n", cases, steps, events}'
exit "$status"
