#!/bin/sh
# Builds what the scripts of review/11 to 15 start beside the host program. The stand-ins are plain JavaScript, so they are only checked.
set -e
cd "$(dirname "$0")"
for file in stand-ins-3/*.mjs 1[1-5]/*.mjs; do node --check "$file"; done
