#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves out the disruption.
set -u
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.."
program=target/review-2/popular_lookup
if [ ! -x "$program" ]; then
    echo "run review/build-2.sh first"
    exit 2
fi
started=$(mktemp)
# Ends what the program has started if it is interrupted before it does so itself.
end_started() {
    while read -r id; do
        if grep -qs daisypaddle-gateway "/proc/$id/cmdline"; then
            kill -KILL "$id"
        fi
    done < "$started"
    rm -f "$started"
}
trap end_started EXIT
trap 'kill -KILL "$child" 2> /dev/null; exit 2' INT TERM
"$program" "$folder/record.txt" "$started" &
child=$!
wait "$child"
