#!/usr/bin/env bash
# Exits with 1 if the acknowledged configuration is gone, 0 if it is read back, 2 if the case could
# not run. TROUBLE=0 leaves out the replacements and the loss of the disk.
cd "$(dirname "$0")/../.." || exit 2
[ -d target/review-2 ] && [ -x target/runtime/bin/java ] || { echo "build first" >&2; exit 2; }
. bin/find-java
export TROUBLE="${TROUBLE:-1}"
timeout -k 5 115 "$JAVA_HOME/bin/java" -cp target/review-2 PlannedReplacements review/6
status=$?
[ "$status" -le 1 ] && exit "$status"
exit 2
