#!/bin/sh
# Plays the case and leaves record.txt beside this file. Exit status: 1 if the rule was broken, 0 if it held, 2 if the case
# could not run. TROUBLE=0 leaves the disruption out. First: the build of the deploy file, then review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
test -x review/bin/rig2 && test -x bin/finchlatch || exit 2
exec review/bin/rig2 quiet review/7/record.txt
