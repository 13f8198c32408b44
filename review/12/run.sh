#!/bin/bash
# Plays the case of claim.txt; TROUBLE=0 leaves its disruption out. Exits with 1 if the rule was broken, 0 if it held, 2 if the case
# could not run or was interrupted.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$folder/../.." || exit 2
RECORD="$folder/record.txt" timeout -k 5 110 target/play-3 leave &
play=$!
trap 'kill -TERM $play 2>/dev/null; wait $play; exit 2' INT TERM HUP
wait $play
code=$?
[ $code -le 1 ] && exit $code
exit 2
