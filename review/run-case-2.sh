#!/bin/sh
# Plays a case once: run-case-2.sh PLAY FOLDER, the record being written to the folder. Exit status 1 if the rule was broken,
# 0 if it held, 2 if the case could not run. TROUBLE=0 plays it without the disruption. Needs the build of the deploy file and
# review/build-2.sh.
folder=$(cd "$2" && pwd) || exit 2
cd "$(dirname "$0")/.." || exit 2
stand_in=target/review-2/stand-in
[ -x "$stand_in" ] || { echo "could not run: review/build-2.sh was not run"; exit 2; }
"$stand_in" "$1" "$folder"
status=$?
[ "$status" -le 2 ] || status=2
exit "$status"
