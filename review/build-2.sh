#!/usr/bin/env bash
# Builds the stand-ins of cases 6 to 10 into target/review-2; needs the build of the deploy file first.
set -euo pipefail
cd "$(dirname "$0")/.."
. bin/find-java
rm -rf target/review-2
mkdir -p target/review-2
"$JAVA_HOME/bin/javac" --release 25 -d target/review-2 review/lib-2/*.java
