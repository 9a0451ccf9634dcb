#!/bin/sh
# Builds the stand-ins and the cases of the second review. Run it in any folder, after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
rm -rf target/review-2
mkdir -p target/review-2
javac -d target/review-2 review/standin-2/*.java
