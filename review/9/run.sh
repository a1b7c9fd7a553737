#!/usr/bin/env bash
# Runs the case and writes record.txt here. Exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
# TROUBLE=0 does the same without the disruption.
set -um
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
if [ ! -x target/release/pebbleturn ] || [ ! -x target/review-2/cases ]; then
    echo "first: the build of deploy/balancer.toml, and review/build-2.sh"
    exit 2
fi
# In a process group of its own, which ends whole however this script ends.
target/review-2/cases ended "$folder" &
group=$!
trap 'kill -KILL -- -"$group" 2>/dev/null' EXIT
trap 'exit 2' INT TERM
wait "$group"
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
