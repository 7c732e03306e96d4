#!/usr/bin/env bash
# Checks failover.pml with spin: with all rules no assertion may fail, and with
# any of them left out one must. Arguments: "rules" or "mutants".
set -euo pipefail

model=$(cd "$(dirname "$0")" && pwd)/failover.pml
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
cd "$work"

# Searches the whole state space; prints spin's line with the error count.
check() {
	spin -a -DMAX_LEN=3 "$@" "$model" >spin.out || {
		cat spin.out
		exit 1
	}
	cc -O2 -w -DSAFETY -DCOLLAPSE -o pan pan.c
	./pan -m100000 -E >pan.out
	! grep -q 'max search depth too small\|out of memory' pan.out || {
		cat pan.out
		exit 1
	}
	grep 'errors:' pan.out
}

case $1 in
rules)
	check -DALL_RULES | tee result
	grep -q 'errors: 0' result
	grep 'states, stored' pan.out
	;;
mutants)
	for rule in MAJORITY OWN_GRANT HIGHEST NEW_TERM REST_MAJORITY \
		ACK_MAJORITY ACK_BEFORE_GRANT; do
		check "-DNO_$rule" >result
		echo "without $rule: $(cat result)"
		grep -q 'errors: 1' result
	done
	;;
esac
