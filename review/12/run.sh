#!/usr/bin/env bash
cd "$(dirname "$0")" || exit 2
exec timeout --kill-after=2 118 node case.mjs
