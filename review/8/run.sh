#!/usr/bin/env bash
# Plays the case against the daemons in target/: crashes an endpoint that starts again under its id.
# Exits with 1 if the rule was broken, with 0 if it held, and with 2 if the
# case could not run. TROUBLE=0 leaves the disruption out.
set -u
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
for program in target/main/knapweedlift review/build-2/world; do
  [ -x "$program" ] && continue
  echo "$program is missing: run the build of deploy/system.toml and review/build-2.sh"
  exit 2
done
timeout --kill-after=2 117 review/build-2/world reborn "$folder/record.txt"
result=$?
[ "$result" -le 1 ] || result=2
exit "$result"
