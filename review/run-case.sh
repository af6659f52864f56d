#!/bin/bash
# run-case.sh CASE FOLDER: plays a case of the stand-ins against the node that the deploy file's run command starts, and
# writes FOLDER/record.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
root=$(cd "$(dirname "$0")/.." && pwd) || exit 2
run=$(sed -n 's/^run = "\([^"]*\)".*/\1/p' "$root/deploy/balancer.toml")
if [ ! -x "$root/bin/brackenbend" ]; then
	echo "bin/brackenbend is missing: run the deploy file's build command"
	exit 2
fi
[ -x "$root/review/bin/standin" ] || "$root/review/build.sh" || exit 2
timeout --kill-after=2 110 "$root/review/bin/standin" -case "$1" -root "$root" -run "$run" -record "$2/record.txt"
status=$?
[ "$status" -le 2 ] || status=2
exit "$status"
