#!/usr/bin/env bash
# Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: no disruption.
set -u
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
program="$here/../bin/case$(basename "$here")"
[ -x "$program" ] || { echo "run review/build.sh first"; exit 2; }
run=$(sed -n 's/^run *= *"\([^"]*\)".*/\1/p' "$root/deploy/balancer.toml")
tmp=$(mktemp -d) || exit 2
child=
finish() {
    [ -n "$child" ] && kill "$child" 2>/dev/null && wait "$child" 2>/dev/null
    # The case kills its broker; this ends one that is left if the case itself was killed.
    for pid in $(cat "$tmp/broker.pid" 2>/dev/null); do
        grep -q pebbleturn "/proc/$pid/cmdline" 2>/dev/null && kill -9 "$pid" 2>/dev/null
    done
    rm -rf "$tmp"
}
trap finish EXIT
trap 'exit 2' INT TERM
timeout 115 "$program" "$root" "$run" "$tmp" "$here/record.txt" &
child=$!
wait "$child"
code=$?
child=
case $code in 0 | 1) exit "$code" ;; *) exit 2 ;; esac
