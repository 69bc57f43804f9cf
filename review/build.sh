#!/usr/bin/env bash
# The stand-ins of the cases are plain modules of Node.js in lib/, so nothing has to be compiled. Checks
# that they and the program of the deploy file are there.
set -euo pipefail
cd "$(dirname "$0")/.."
for file in review/lib/*.mjs review/[1-9]/*.mjs; do node --check "$file"; done
[ -f target/cactusdeal-relay.cjs ] || node scripts/bundle.mjs
