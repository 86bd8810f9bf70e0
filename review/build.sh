#!/usr/bin/env bash
# Builds what the cases start beside the programs of the deploy file. The stand-ins are plain JavaScript that Node.js
# runs as it is and that imports nothing but its own modules, so this only checks that each file can be parsed.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib/*.mjs [1-9]/*.mjs; do
    node --check "$file"
done
