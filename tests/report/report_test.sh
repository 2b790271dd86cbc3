#!/usr/bin/env bash
# Checks what scripts/report counts in a log of three decisions, a second apart.
set -euo pipefail
cd "$(dirname "$0")/../.."
log=$(mktemp)
trap 'rm -f "$log"' EXIT
cat >"$log" <<'LINES'
time_ms=5000 level=info event=placed request=a route=r1 server=s1 running=1/2 waiting=0
time_ms=6100 level=info event=attempt-ended request=a server=s1 result=answered status=200
time_ms=7200 level=info event=rejected request=b route=r1 reason=no-room held_ms=3
LINES
scripts/report "$log" >/dev/null
got=$(cat out/report.dat)
for line in "# answered r1" "# rejected no-room" "# load at placing" "0 0.5" "1 1" "2 1"; do
  grep -qxF "$line" <<<"$got" || { echo "report.dat lacks '$line':"; echo "$got"; exit 1; }
done
[ -s out/report.png ] || { echo "no report.png"; exit 1; }
if scripts/report /nonexistent 2>/dev/null; then
  echo "a log that cannot be read is no error"
  exit 1
fi
