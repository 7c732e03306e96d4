#!/bin/sh
# Plays the case of this folder; see claim.txt. Exit code 1: the rule was
# broken, 0: it held, 2: the case could not run. TROUBLE=0 leaves out the
# disruption. Needs the build of the deploy file and review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
CASE_DIR=$(mktemp -d) || exit 2
export CASE_DIR
RECORD=review/4/record.txt target/review-2/scene-4
code=$?
rm -rf "$CASE_DIR"
[ $code -le 2 ] || code=2
exit $code
