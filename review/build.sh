#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts. Needs the JDK only, no network.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
javac -d target/review review/standin/*.java
