#!/bin/sh
# Plays the case. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could
# not run. TROUBLE=0 plays it without the disruption.
cd "$(dirname "$0")/../.." || exit 2
test -x target/peridotchute-entry && test -x target/review-2/standins-2 || exit 2
exec target/review-2/standins-2 streams "review/10"
