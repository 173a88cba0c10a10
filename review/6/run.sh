#!/usr/bin/env bash
# Uploads on a route that was added later. Exit status: 1 rule broken, 0 held, 2 couldn't run.
set -uo pipefail
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.."
program=target/review-2/release/standin-2
[ -x "$program" ] && [ -x target/release/bulrushwind-gateway ] || exit 2
work=$(mktemp -d) || exit 2
rm -f "$here/record.txt"
"$program" uploads "$work" &
scene=$!
# Ends the processes that the scene started, should it end before them.
trap 'kill "$scene" 2>/dev/null; for f in "$work"/*.pid; do [ -e "$f" ] && kill -9 "$(cat "$f")" 2>/dev/null; done; rm -rf "$work"' EXIT
wait "$scene"
status=$?
[ -e "$work/record.txt" ] && cp "$work/record.txt" "$here/record.txt"
case $status in 0 | 1) exit $status ;; *) exit 2 ;; esac
