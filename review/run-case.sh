#!/usr/bin/env bash
# Plays one case: run-case.sh CASE FOLDER. Exit status 1 if the rule was broken, 0 if it held, 2 if the case could
# not run. TROUBLE=0 leaves the disruption out.
set -u
case=$1
here=$2
root=$(cd "$(dirname "$0")/.." && pwd)
program="$root/review/bin/stand-in"
if ! [ -x "$program" ] || ! [ -x "$root/target/release/mulleinhub-planner" ]; then
    echo "build first: the deploy file's build, then review/build.sh" >&2
    exit 2
fi
folder=$(mktemp -d) || exit 2
player=
finish() {
    # The stand-in ends what it started; this is for a stand-in that was ended itself.
    if [ -n "$player" ] && kill -0 "$player" 2>/dev/null; then
        kill -KILL "$player" 2>/dev/null
        while read -r process; do kill -KILL "$process" 2>/dev/null; done <"$folder/processes"
    fi
    rm -rf "$folder"
}
trap finish EXIT
trap 'exit 2' INT TERM HUP
REVIEW_ROOT=$root "$program" "$case" "$here/record.txt" "$folder" &
player=$!
wait "$player"
status=$?
player=
[ "$status" -le 1 ] || exit 2
exit "$status"
