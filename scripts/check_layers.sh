#!/usr/bin/env bash
# The platform's names on the wire are known in platform/ alone (tests and their
# stand-ins speak them too), and only the daemon's main includes that folder.
set -euo pipefail
cd "$(dirname "$0")/.."
names='chervilwick/(kv-|hold-|report|order|readyz)|X-(Response-Stamp'
names+='|Expect-|Not-Run|Tenant|Server-Load|Kv-|Stage|Token-Count'
names+='|Prompt-Prefix|Pin-Ms|Length-Hint)|Store-Era|"(goal_ms|api_keys|tenants|plain_tokens|gap_goal_ms|kv_capacity'
names+='|current_rev|set_keys|cold_left_ms)"'
status=0
if git grep -nE "$names" -- lib include tools; then
  echo "layers: names of the platform outside platform/" >&2
  status=1
fi
if git grep -n '#include "platform/' -- lib include tools \
  ':!tools/chervilwick-front/main.cc'; then
  echo "layers: platform/ is included by more than the front's main" >&2
  status=1
fi
# Two types of one name in one program are one of them at random.
twice=$(git grep -hE '^(class|struct|enum class) .*\{' -- '*.h' ':!journal' |
  sed -E 's/^(class|struct|enum class) (ABSL_[A-Z_]+ )?([A-Za-z]+).*/\3/' |
  sort | uniq -d)
if [ -n "$twice" ]; then
  echo "layers: types with one name in two headers:" $twice >&2
  status=1
fi
[ "$status" -eq 0 ] && echo "layers: clean"
exit "$status"
