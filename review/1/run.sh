#!/bin/sh
# Runs the case; TROUBLE=0 leaves the disruption out. Exits with 1 if the rule was broken, 0 if it held,
# 2 if the case could not run.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[ -x target/release/daisypaddle-gateway ] && [ -x target/review/review-cases ] || exit 2
CASE_FOLDER=$(mktemp -d) || exit 2
export CASE_FOLDER
end_processes() {
    for pid in $(cat "$CASE_FOLDER/pids" 2>/dev/null); do
        grep -q "$CASE_FOLDER" "/proc/$pid/cmdline" 2>/dev/null && kill -9 "$pid"
    done
    rm -rf "$CASE_FOLDER"
}
trap end_processes EXIT
trap 'exit 2' INT TERM
timeout 115 target/review/review-cases stale "$here/record.txt"
status=$?
[ "$status" -le 1 ] || status=2
exit "$status"
