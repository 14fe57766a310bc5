#!/usr/bin/env bash
# Plays the case once; TROUBLE=0 leaves the disruption out. Exits with 1 if the
# rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/main/knapweedlift ] && [ -x review/build/world ] || exit 2
directory=$(mktemp -d) || exit 2
trap 'rm -rf "$directory"' EXIT
review/build/world unreadable-entry "$directory" review/1/record.txt
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
