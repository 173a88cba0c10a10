#!/usr/bin/env bash
# Plays the deployments whose results must hold: scores, hunts, the incident and the sweep of the largest.
#
#   deploy/regression.sh BENCH SITES [OUT]
#
# BENCH is the users' bench, SITES the folder with their site files, OUT the folder for what they print.
# Exits with 1 where a gate failed or a hunted day broke a rule.
set -euo pipefail
cd "$(dirname "$0")/.."
bench=${1:?the path of the bench}
sites=${2:?the folder with the site files}
out=${3:-target/regression}
jobs=${JOBS:-4}
mkdir -p "$out"
bad=0

play() {
    local name=$1 good=$2
    shift 2
    "$bench" "$@" --jobs "$jobs" --why "regression: $name" >"$out/$name.log" 2>&1 || true
    if grep -q "$good" "$out/$name.log"; then
        echo "good  $name"
    else
        echo "BAD   $name, see $out/$name.log"
        bad=1
    fi
}

while read -r site days; do
    name=$(basename "$site" .toml)
    play "score-$name" "GATE passed" score "$sites/$site"
    play "hunt-$name" "0 of $days days broke" hunt "$sites/$site" --days "$days"
done <<EOF
large/tengeri-hangar-large.toml 8
further/ficlear-gw.toml 40
further-grown/ficlear-gw-grown.toml 8
grown/tengeri-hangar-grown.toml 8
grown/dakschade-platform-grown.toml 8
EOF
play sweep "sweep-300 .*" sweep "$sites/large/tengeri-hangar-large.toml"
exit $bad
