#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves out the disruption: case.py gets it as its argument.
TROUBLE="${TROUBLE:-1}"
cd "$(dirname "$0")" || exit 2
command -v python3 >/dev/null || { echo "python3 is missing"; exit 2; }
[ -x ../../target/release/verbenahub-gateway ] || { echo "build the gateway first"; exit 2; }
if [ "$TROUBLE" = 0 ]; then
    set -- without
else
    set -- with
fi
PYTHONDONTWRITEBYTECODE=1 exec timeout -k 5 118 python3 case.py "$1"
