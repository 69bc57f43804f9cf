#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10. They are JavaScript without dependencies, so it only checks them.
set -euo pipefail
cd "$(dirname "$0")/.."
for file in review/lib-2/*.mjs review/{6,7,8,9,10}/*.mjs; do
  [ ! -f "$file" ] || node --check "$file"
done
