#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves out the disruption.
# Needs the build of the deploy file and review/build.sh.
cd "$(dirname "$0")/../.." || exit 2
exec java -Xmx512m -cp target/review LateAfterCancel review/4/record.txt
