#!/usr/bin/env bash
# Plays the case "config" (review/standins) and writes record.txt beside this file. Exits with 1 if
# the rule was broken, 0 if it held and 2 if the case could not run. With TROUBLE=0 it plays the
# same without the disruption.
set -u
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
export TROUBLE=${TROUBLE:-1}
timeout --kill-after=3 112 target/review-standins config "$folder"
status=$?
[ "$status" -le 2 ] || status=2
exit "$status"
