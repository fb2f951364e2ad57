#!/bin/bash
# Plays the case on a call server of its own. Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
root=$(cd "$here/../.." && pwd) || exit 2
run=$(sed -n 's/^run = "\(.*\)"$/\1/p' "$root/deploy/balancer.toml")
if ! test -x "$root/review/bin/rig" || ! test -x "$root/bin/finchlatch"; then
	echo "run the build of the deploy file and review/build.sh first" >&2
	exit 2
fi
exec "$root/review/bin/rig" -case foreign-release -root "$root" -run "$run" -record "$here/record.txt"
