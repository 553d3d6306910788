#!/usr/bin/env bash
# Runs all Go tests. Tests listed in KNOWN-RED.txt are printed and skipped; any
# other failure fails the run. In KNOWN-RED.txt, a line "test: PACKAGE TESTNAME"
# names one test, a line "fuzz: COMMAND" a run that make test does not include,
# and a line "hunt: COMMAND" a simulated day of the platform's bench.
# Packages that use rapid run with a fixed seed.
set -u
cd "$(dirname "$0")/.." || exit 1
skip=$(sed -n 's/^test: *[^ ]* *\([A-Za-z0-9_]*\).*$/\1/p' KNOWN-RED.txt 2>/dev/null | paste -sd'|' -)
args=(-count=1 -timeout 25m)
if [ -s KNOWN-RED.txt ]; then
  echo "KNOWN-RED.txt:"
  cat KNOWN-RED.txt
fi
if [ -n "$skip" ]; then
  echo "passed over: $skip"
  args+=(-skip "^($skip)\$")
fi
rapid=$(grep -rl --include=*_test.go pgregory.net/rapid internal test 2>/dev/null | xargs -r -n1 dirname | sort -u | sed 's|^|./|')
plain=$(go list -f '{{.Dir}}' ./... | sed "s|^$PWD|.|" | grep -vxF "${rapid:-none}")
status=0
if [ -n "$rapid" ]; then
  # shellcheck disable=SC2086
  go test $rapid "${args[@]}" -rapid.seed=1 -rapid.nofailfile || status=1
fi
# shellcheck disable=SC2086
go test $plain "${args[@]}" || status=1
exit $status
