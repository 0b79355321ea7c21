#!/bin/bash
# Plays the case and writes record.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if the case
# couldn't run. With TROUBLE=0 it plays the same without the disruption.
cd "$(dirname "$0")" || exit 2
number=$(basename "$PWD")
root=$PWD/../..
# The program that the deploy file names; the stand-ins add "--config" and the settings file.
program=$root/$(sed -n 's/^run = "\(.*\) --config"$/\1/p' "$root/deploy/service.toml")
play=$root/target/review/case$number
[ -x "$program" ] && [ -x "$play" ] || { echo "build first: the deploy file's build, review/build.sh" >&2; exit 2; }
LOG_LEVEL=${LOG_LEVEL:-error} TROUBLE=${TROUBLE:-1} timeout 119 "$play" "$program" "$PWD/record.txt"
status=$?
[ "$status" -le 1 ] && exit "$status"
exit 2
