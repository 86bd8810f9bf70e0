#!/usr/bin/env bash
# The stand-ins and cases of this review are plain ES modules that Node.js runs as they are, without dependencies; this
# checks that each can be parsed.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib-3/*.mjs 1[1-5]/*.mjs; do
    node --check "$file"
done
