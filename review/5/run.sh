#!/usr/bin/env bash
# Plays the case on loopback; see claim.txt. Needs the build of the deploy file and review/build.sh.
set -u
cd "$(dirname "$0")/../.."
exec java -Xmx512m -cp target/review UnknownWorkerCase review/5
