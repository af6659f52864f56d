#!/bin/bash
# Plays the case spoilt-stream; TROUBLE=0 plays it without the disruption. See claim.txt.
cd "$(dirname "$0")" || exit 2
exec ../run-case.sh spoilt-stream "$PWD"
