#!/usr/bin/env bash
# Builds the stand-ins of the cases into review/bin. It needs the Go toolchain and no network.
set -euo pipefail
cd "$(dirname "$0")/standin"
GOWORK=off GOFLAGS= GOTOOLCHAIN=local go build -o ../bin/standin .
