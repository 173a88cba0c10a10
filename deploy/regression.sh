#!/usr/bin/env bash
# Plays the deployments whose results must hold: scores, hunts, and a sweep of a deployment of each kind.
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

# Plays one verb and takes it for good where `good` is among what it prints.
play() {
    local name=$1 good=$2 log=$out/$1.log
    shift 2
    "$bench" "$@" --jobs "$jobs" --why "regression: $name" >"$log" 2>&1 || true
    if grep -qE "$good" "$log"; then
        echo "good  $name"
    else
        echo "BAD   $name, see $log"
        bad=1
    fi
}

while read -r site days; do
    name=$(basename "$site" .toml)
    play "score-$name" "GATE passed" score "$sites/$site"
    play "hunt-$name" "^$days days .*, 0 with a rule broken" hunt "$sites/$site" --days "$days"
done <<EOF
demands/omuramba-roster-grown.toml 8
demands/valuutasild-hq-grown.toml 8
shifted/tengeri-hangar-now-grown.toml 40
large/tengeri-hangar-large.toml 8
further/ficlear-gw.toml 40
further-grown/ficlear-gw-grown.toml 8
grown/tengeri-hangar-grown.toml 8
grown/dakschade-platform-grown.toml 8
EOF
for site in shifted/tengeri-hangar-now-grown large/tengeri-hangar-large further/ficlear-gw grown/dakschade-platform-grown; do
    name=sweep-$(basename "$site")
    play "$name" "^sweep-300 .*/[0-9]" sweep "$sites/$site.toml"
    # Of the rows of the sweep: the size, entry VMs and backend servers, score, worth, what was served.
    if ! awk '/^sweep-30 / { few = $5 } /^sweep-300 / { many = $5 } END { exit !(many >= 0.7 * few) }' "$out/$name.log"; then
        echo "BAD   $name: 300 VMs serve less than 0.7 of what 30 serve"
        bad=1
    fi
done
exit $bad
