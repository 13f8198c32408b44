#!/usr/bin/env bash
# Exits with 1 if BUDGET was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves out the requests that crash servers.
cd "$(dirname "$0")" || exit 2
[ -x ../../target/ground ] && [ -x ../../target/coltsfootd ] || exit 2
exec ../../target/ground poison
