#!/usr/bin/env bash
# Counts the instructions of a decision in a full cell with callgrind. Two runs that differ only in
# the number of decisions are subtracted, so that the set-up doesn't count. Prints JSON lines. Fails
# if a bound is exceeded.
set -euo pipefail
bench=${1:?usage: callgrind.sh PATH/bench_decide}
few_decisions=1000
many_decisions=6000
bound=30000   # per decision: 2.6% of a core at 2,300 decisions per second
status=0

count() { # WORKERS OPERATIONS; prints "INSTRUCTIONS DECISIONS"
	local log decisions
	log=$(mktemp)
	decisions=$(valgrind --tool=callgrind --callgrind-out-file=/dev/null "$bench" steady "$1" "$2" \
		2>"$log" | cut -d' ' -f1)
	echo "$(sed -n 's/.*Collected : //p' "$log") $decisions"
	rm -f "$log"
}

emit() { # NAME VALUE UNIT BOUND
	local ok=true
	awk -v v="$2" -v b="$4" 'BEGIN { exit !(v <= b) }' || { ok=false; status=1; }
	echo "{\"name\":\"$1\",\"value\":$2,\"unit\":\"$3\",\"bound\":$4,\"ok\":$ok}"
}

declare -A cost
for workers in 50 500 3700 10000; do
	read -r i1 d1 < <(count "$workers" $few_decisions)
	read -r i2 d2 < <(count "$workers" $many_decisions)
	cost[$workers]=$(((i2 - i1) / (d2 - d1)))
	emit "decide.instructions.$workers" "${cost[$workers]}" instructions/decision $bound
done
# The cost may grow with the logarithm of the number of workers at most.
growth=$(awk -v a="${cost[50]}" -v b="${cost[10000]}" 'BEGIN { printf "%.3f", b / a }')
limit=$(awk 'BEGIN { printf "%.3f", log(10000) / log(50) }')
emit decide.growth.50_to_10000 "$growth" ratio "$limit"

instructions() { # ARGUMENT... of bench_decide
	valgrind --tool=callgrind --callgrind-out-file=/dev/null "$bench" "$@" 2>&1 |
		sed -n 's/.*Collected : //p'
}

# n requests and n tasks are cancelled. The cost of one cancellation must not depend on n.
for n in 1000 10000; do
	with=$(instructions cancel $n 0)
	without=$(instructions cancel $n 1)
	cost[cancel$n]=$(((with - without) / (2 * n)))
done
emit cancel.instructions.20000 "${cost[cancel10000]}" instructions/cancel $bound
growth=$(awk -v a="${cost[cancel1000]}" -v b="${cost[cancel10000]}" 'BEGIN { printf "%.3f", b / a }')
emit cancel.growth.2000_to_20000 "$growth" ratio 1.2
exit $status
