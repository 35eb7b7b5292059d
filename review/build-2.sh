#!/usr/bin/env bash
# Builds the stand-ins of the second review's scripts, after the build line of the deploy file. Needs no network once the
# modules are there.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-rig-2 ./review/rig-2
