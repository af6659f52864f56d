#!/bin/sh
# Builds the stand-ins of the cases 6 to 10 (clients, engines, discovery and the platform, in one program without
# dependencies) into bin/review-standin-2. It needs no network. The front node is built by the deploy file.
set -e
cd "$(dirname "$0")/standin-2"
GOTOOLCHAIN=local GOPROXY=off GOFLAGS= GOWORK=off CGO_ENABLED=0 go build -o ../../bin/review-standin-2 .
