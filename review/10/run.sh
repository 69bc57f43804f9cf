#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run; TROUBLE=0: no disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -f target/cactusdeal-relay.cjs ] || exit 2
exec node review/10/case.mjs review/10
