#!/usr/bin/env bash
# Plays the case of this folder; see claim.txt. Exits with 1 if the rule was broken, 0 if it held
# and 2 if the case could not run. TROUBLE=0 leaves the disruption out.
set -u
here="$(cd "$(dirname "$0")" && pwd)"
cd "$here/../.." || exit 2
if ! [ -x target/review-second ] || ! [ -x target/coltsfoot-entry ] || ! [ -x target/coltsfoot-agent ]; then
  echo "build first: the command of deploy/system.toml, then review/build-2.sh"
  exit 2
fi
trouble=true
[ "${TROUBLE:-1}" = 0 ] && trouble=false
exec target/review-second -case silent-minions -record "$here/record.txt" -trouble=$trouble
