#!/usr/bin/env bash
# A version is written while the store, which has come back from a copy 3 s old,
# gives out revisions again (TROUBLE=0: it does not go away). Exits with 1 if
# CONFIG was broken, 0 if it held, 2 if it could not run.
cd "$(dirname "$0")/../.." || exit 2
daemon=target/main/knapweedlift
standin=target/review-3/standin
[ -x "$daemon" ] && [ -x "$standin" ] || { echo "build first" >&2; exit 2; }
directory=$(mktemp -d) || exit 2
trap 'rm -rf "$directory"' EXIT
mode=trouble
[ "${TROUBLE:-1}" != 0 ] || mode=calm
timeout -k 3 112 "$standin" lost-version "$daemon" "$directory" review/13/record.txt "$mode"
status=$?
[ "$status" -le 1 ] || status=2
exit "$status"
