#!/usr/bin/env bash
# Plays the case: exit status 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the
# disruption out. Needs target/bin/hemlockproxy and what review/build.sh builds.
cd "$(dirname "$0")/../.." || exit 2
program=review/build/case-1
[ -x "$program" ] || { echo "run review/build.sh first" >&2; exit 2; }
exec "$program" review/1/record.txt
