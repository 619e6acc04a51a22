#!/bin/sh
# Builds what the scripts of review/6 to review/10 start beside the host program. Their stand-ins are plain JavaScript in
# review/stand-ins-2 and need no build; this checks that they can be loaded.
set -e
cd "$(dirname "$0")/.."
test -f target/tanagerusher-host.mjs || { echo 'target/tanagerusher-host.mjs is missing: run the build of deploy/system.toml first' >&2; exit 1; }
for file in review/stand-ins-2/*.mjs; do node --check "$file"; done
