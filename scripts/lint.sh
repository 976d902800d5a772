#!/usr/bin/env bash
# Checks formatting and lints every source file that has changed since it was
# last found clean in this build folder:
#   scripts/lint.sh [--fix-format]
set -euo pipefail
cd "$(dirname "$0")/.."
mapfile -t files < <(git ls-files '*.cc' '*.h' &&
  git ls-files --others --exclude-standard '*.cc' '*.h')
if [ "${1:-}" = --fix-format ]; then
  clang-format -i "${files[@]}"
  exit 0
fi
clang-format --dry-run --Werror "${files[@]}"
echo "lint: ${#files[@]} files are formatted"
[ -f build/compile_commands.json ] ||
  cmake -S . -B build -G Ninja -DCMAKE_CXX_COMPILER_LAUNCHER=ccache >/dev/null
mkdir -p build/lint
# One stamp per file: a hash of what it includes, of the file and of the rules.
headers=$(cat .clang-tidy $(printf '%s\n' "${files[@]}" | grep '\.h$') |
  sha256sum | cut -c1-16)
lint_one() {
  local file=$1 stamp
  stamp="build/lint/$(cat "$file" | sha256sum | cut -c1-16)-$2"
  [ -e "$stamp" ] && return 0
  if clang-tidy -p build --quiet "$file" >"$stamp.log" 2>&1; then
    touch "$stamp"
    rm -f "$stamp.log"
  else
    grep -v 'warnings generated' "$stamp.log"
    rm -f "$stamp.log"
    return 1
  fi
}
export -f lint_one
printf '%s\n' "${files[@]}" | grep '\.cc$' |
  xargs -P "${LINT_JOBS:-$(nproc)}" -I{} bash -c 'lint_one "$1" "$2"' _ {} "$headers"
echo "lint: clean"
