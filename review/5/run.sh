#!/usr/bin/env bash
# Plays the case and exits with 1 if the rule was broken, 0 if it held and 2 if the case could
# not run. TROUBLE=0 plays it without the disruption. Run the build of the deploy file and
# review/build.sh first.
set -u
cd "$(dirname "$0")/../.." || exit 2
for program in target/coltsfoot-entry target/coltsfoot-agent target/review; do
  [ -x "$program" ] || { echo "$program is not built" >&2; exit 2; }
done
exec target/review -case many-ends -out review/5/record.txt
