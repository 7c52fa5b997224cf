#!/bin/sh
# Plays a scenario of the stand-ins for the case in review/$1, and ends the processes that are left if it is interrupted.
cd "$(dirname "$0")/.." || exit 2
[ -x target/release/nutmegfold ] && [ -x target/review/standin ] || exit 2
TMPDIR=$(mktemp -d) || exit 2
REVIEW_PROCESSES=$TMPDIR/processes
export TMPDIR REVIEW_PROCESSES
: >"$REVIEW_PROCESSES"
interrupt() {
    kill "$driver" 2>/dev/null
    while read -r process; do kill -KILL "$process" 2>/dev/null; done <"$REVIEW_PROCESSES"
    rm -rf "$TMPDIR"
    exit 2
}
target/review/standin "$2" "review/$1" &
driver=$!
trap interrupt INT TERM HUP
wait "$driver"
code=$?
rm -rf "$TMPDIR"
exit "$code"
