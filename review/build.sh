#!/bin/bash
# Builds the stand-ins of the cases into review/bin. They use the standard library alone.
set -eu
cd "$(dirname "$0")/standin"
go build -o ../bin/standin .
