#!/usr/bin/env bash
# Builds the stand-ins of the scripted cases of the third review.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target
go build -o target/review-third ./review/third/platform
