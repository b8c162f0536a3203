#!/usr/bin/env bash
# Exits with 1 if a gateway serves a dropped route long after the acknowledgement, 0 if none does, 2 if
# the case could not run. TROUBLE=0 leaves out the change of the seeds and the losses.
cd "$(dirname "$0")/../.." || exit 2
[ -d target/review-2 ] && [ -x target/runtime/bin/java ] || { echo "build first" >&2; exit 2; }
. bin/find-java
export TROUBLE="${TROUBLE:-1}"
timeout -k 5 115 "$JAVA_HOME/bin/java" -cp target/review-2 StaleGateways review/8
status=$?
[ "$status" -le 1 ] && exit "$status"
exit 2
