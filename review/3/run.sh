#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x review/_rig/bin/rig ] && [ -x bin/ravenpond ] || { echo "not built: run the build of the deploy file and review/build.sh"; exit 2; }
exec review/_rig/bin/rig ended-while-down review/3/record.txt
