#!/bin/sh
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# With TROUBLE=0 the same without the disruption.
cd "$(dirname "$0")/../.." || exit 2
for program in target/review/rig target/release/verbenahub-gateway; do
    [ -x "$program" ] || { echo "not built: $program"; exit 2; }
done
target/review/rig late-permit review/4
