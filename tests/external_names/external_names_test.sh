#!/usr/bin/env bash
# Compares docs/external-names.md with the flags, environment variables and metrics of the running programs, and with the
# log events and fields in the sources. Usage: external_names_test.sh BUILD_DIR
set -euo pipefail
build=$1
cd "$(dirname "$0")/../.."
failed=0

# Prints the names in backticks of the section that begins with "## $1", sorted.
listed() {
  awk -v title="## $1" 'index($0, "## ") == 1 { on = index($0, title) == 1 } on && index($0, "## ") != 1' \
    docs/external-names.md | awk '/^(Every line|Also|Labels|Values)/ { skip = 1 } /^$/ { skip = 0 } !skip' |
    grep -oE '`[^`]+`' | tr -d '`' | sort -u
}

compare() {  # TITLE LISTED FOUND
  if ! difference=$(diff <(printf '%s\n' "$2") <(printf '%s\n' "$3")); then
    echo "docs/external-names.md, section '$1' (<), differs from the programs (>):"
    echo "$difference"
    failed=1
  fi
}

entry=$build/apps/dotterellead/dotterellead
control=$build/apps/dotterelleadctl/dotterelleadctl
flags() { grep -oE '^ +(-[a-z],)?--[a-z-]+' | grep -oE -- '--[a-z-]+' | sort -u; }
variables() { grep -oE 'DOTTERELLEAD_[A-Z_]+' | sort -u; }
entry_help=$("$entry" entry --help)
host_help=$("$entry" --help)
control_help=$("$control" --help)
subcommands=$(sed -n '/^Subcommands:/,/^$/p' <<<"$control_help" | awk 'NR > 1 && NF { print $1 }')
compare 'Flags of `dotterellead entry`' "$(listed 'Flags of `dotterellead entry`')" "$(flags <<<"$entry_help")"
compare 'Flags of `dotterellead`' "$(listed 'Flags of `dotterellead` ')" "$(flags <<<"$host_help")"
compare 'Flags of `dotterelleadctl`' "$(listed 'Flags of `dotterelleadctl`')" \
  "$( (flags <<<"$control_help"; echo "$subcommands") | sort -u)"
# The help does not show the peers' secret as a variable of an option.
compare Environment "$(listed Environment)" \
  "$(printf '%s\n' "$entry_help" "$host_help" "$control_help" | variables)"

# Events and fields as the sources write them.
sources=$(git ls-files 'packages/*.cc' 'packages/*.h' 'platform/*.cc' 'apps/*.cc' 'apps/*.h' | grep -v /tests/)
events() {
  xargs cat <<<"$sources" | tr '\n' ' ' |
    grep -oE '(LogEvent\([^;"]*|Log\(out, *|decision\{ *|FormatLogLine\([^;"]*)"[a-z-]+"' | grep -oE '"[a-z-]+"$' |
    tr -d '"' | sort -u
}
compare 'Log events' "$(listed 'Log events')" "$(events)"
fields() {
  git ls-files packages/{dispatch,fleet,moves,traffic,net,logging} platform/src apps/entry | grep -E '\.(cc|h)$' |
    grep -v /tests/ | xargs cat | tr '\n' ' ' | sed 's/levels{.*levels\.at//; s/IsMember([^)]*)//g' |
    grep -oE '\{ *"[a-z_]+",' | grep -oE '"[a-z_]+"' | tr -d '"' | sort -u
}
compare 'Log fields' "$(listed 'Log fields')" "$(fields)"

# Metrics of an entry host whose store is out of reach.
"$entry" entry --host n1 --data-centre d1 --front 127.0.0.1:23591 --ready 127.0.0.1:23592 --metrics 127.0.0.1:23593 \
  --peers 127.0.0.1:23594 --store 127.0.0.1:23595 --stop-s 1 >"$build/external_names.log" 2>&1 &
process=$!
trap 'kill "$process" 2>/dev/null || true' EXIT
metrics=""
for _ in $(seq 50); do
  metrics=$(curl -s http://127.0.0.1:23593/metrics) && break
  sleep 0.1
done
compare 'Metrics of `dotterellead entry`' "$(listed 'Metrics of `dotterellead entry`')" \
  "$(sed -n 's/^# TYPE \([a-z_]*\) .*/\1/p' <<<"$metrics" | sort -u)"
exit "$failed"
