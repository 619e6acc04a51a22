#!/usr/bin/env bash
# The stand-ins of the cases are plain JavaScript without dependencies: there is nothing to compile, so this only checks that they parse.
set -euo pipefail
cd "$(dirname "$0")"
for file in stand-ins/*.mjs [0-9]/*.mjs; do node --check "$file"; done
