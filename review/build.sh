#!/usr/bin/env bash
# Builds the program that plays the scripts of the review. It contains all stand-ins: those of
# this folder and the project's own (platform/standin). It needs no network: the modules are
# those that the project declares.
set -eu
cd "$(dirname "$0")/.."
go build -o target/review ./review/platform
