#!/usr/bin/env bash
# Measures requests per second and processor time per request through one daemon, and for comparison
# with direct calls to a runner. Prints JSON lines. Fails if a request failed.
# Usage: bench/path.sh BUILD
set -euo pipefail
build=$1
root=$(cd "$(dirname "$0")/.." && pwd)
out=$(mktemp -d)
pids=()
platform=127.0.0.1:9000
daemon=127.0.1.1:8080
trap 'kill "${pids[@]}" 2>/dev/null; wait 2>/dev/null; rm -rf "$out"' EXIT

start() {
	"$@" >"$out/log.${#pids[@]}" 2>&1 &
	pids+=($!)
}

wait_for() {
	for _ in $(seq 1 200); do
		curl -sf -m 1 "$1" 2>/dev/null | grep -q "$2" && return 0
		sleep 0.1
	done
	tail -qn 1 "$out"/log.* >&2
	exit 1
}

"$build/tests/standin/standin-vmsgen" --cell shuangxi --entries 1 --out "$out/vms.json"
start "$build/tests/standin/standin-platform" --listen "$platform" --vms "$out/vms.json"
start "$build/tests/standin/standin-workers" --vms "$out/vms.json" --dc north-a --record "$out/records"
start "$build/tests/standin/standin-workers" --vms "$out/vms.json" --dc central-a --record "$out/other"
workers=${pids[2]}
cat >"$out/daemon.yaml" <<EOF
cell: shuangxi
name: north-a-1
dc: north-a
region: north
listen_host: 127.0.1.1
http_port: 8080
link_port: 8081
platform_url: http://$platform
EOF
wait_for "http://$platform/v1/vms" vms
start "$build/knapweedwheeld" --settings "$out/daemon.yaml"
knapweedwheeld=${pids[3]}
wait_for "http://$daemon/readyz" '"workers_unready":0'
KNAPWEEDWHEEL_DAEMONS=http://$daemon "$build/packages/ctl/knapweedwheel" publish --author bench \
	--wait-ms 1 "$root/examples/shuangxi" >"$out/publish" 2>&1 || true
wait_for "http://$daemon/readyz" '"config_version":1'
load="$build/bench/bench_path"
"$load" --url "http://$daemon/v1/requests/coach-desk" --name path_daemon_4 --pid "$knapweedwheeld" -n 4000 -c 4
"$load" --url "http://$daemon/v1/requests/coach-desk" --name path_daemon_64 --pid "$knapweedwheeld" -n 4000 -c 64
# No daemon owns the workers of central-a, so the benchmark can open a session with one of them.
runner=http://127.0.2.100:9100/w/central-a-coach-1-1
curl -sf -o "$out/session" -d '{"owner":"bench","epoch":1,"lease_ms":60000,"task_lease_ms":60000}' "$runner/session"
"$load" --url "$runner/run" --epoch 1 --name path_direct_4 --pid "$workers" -n 4000 -c 4
