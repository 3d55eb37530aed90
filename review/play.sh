#!/usr/bin/env bash
# Plays the scripted case CASE of the folder FOLDER: play.sh CASE FOLDER. Exit status: 1 if
# the rule was broken, 0 if it held, 2 if the case could not run.
set -u
folder=$(cd "$2" && pwd) || exit 2
cd "$(dirname "$0")/.." || exit 2
RUN_COMMAND=$(sed -n 's/^run = "\(.*\)"$/\1/p' deploy/system.toml)
export RUN_COMMAND
if [ ! -x target/review ] || [ ! -x "${RUN_COMMAND%% *}" ]; then
  echo "build first: the build line of deploy/system.toml, and review/build.sh" >&2
  exit 2
fi
target/review "$1" "$folder/record.txt"
status=$?
tail -n 3 "$folder/record.txt"
[ "$status" -le 2 ] || status=2
exit "$status"
