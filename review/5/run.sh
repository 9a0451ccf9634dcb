#!/usr/bin/env bash
# Plays the case on loopback; see claim.txt. Needs the build of the deploy file and review/build.sh.
# With TROUBLE=0 in the environment the disruption is left out.
set -u
cd "$(dirname "$0")/../.."
exec java -Xmx512m -cp target/review SameIdCase review/5
