#!/usr/bin/env bash
# Builds the stand-ins of the scripted cases into target/. It needs the Go toolchain only:
# review/tools is a module of its own without dependencies.
set -euo pipefail
cd "$(dirname "$0")/tools"
mkdir -p ../../target
GOFLAGS=-buildvcs=false GOWORK=off go build -o ../../target/review .
