#!/bin/sh
# Builds the stand-ins of the scripted cases; run it in the repository after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
go build -o target/review-rig ./review/rig
