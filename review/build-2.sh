#!/bin/sh
# The stand-ins and cases of this review are plain ES modules of Node.js; checks that each can be read.
set -e
cd "$(dirname "$0")"
for file in lib-2/*.mjs 6/case.mjs 7/case.mjs 8/case.mjs 9/case.mjs 10/case.mjs; do
    if [ -e "$file" ]; then
        node --check "$file"
    fi
done
