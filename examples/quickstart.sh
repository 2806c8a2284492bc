#!/usr/bin/env bash
# Builds tarragonloom, runs three nodes in two data centres on loopback and sends a request at each
# step. Exits with 0 only if every step succeeds.
set -euo pipefail
cd "$(dirname "$0")/.."

work=$(mktemp -d)
pids=()

cleanup() {
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  rm -rf "$work"
}
trap cleanup EXIT

say() { printf '\n== %s\n' "$1"; }

fail() {
  printf 'FAILED: %s\n' "$1" >&2
  tail -n 20 "$work"/*.log >&2 || true
  exit 1
}

# Repeats a command until it succeeds; fails after about 20 s.
until_ok() {
  for _ in $(seq 100); do
    if "$@" >/dev/null 2>&1; then return 0; fi
    sleep 0.2
  done
  fail "no success within 20 s: $*"
}

# Writes the settings file of a node: settings NAME DATA_CENTRE BASE_PORT IS_REPLICA
settings() {
  local replica=""
  if [ "$4" = yes ]; then replica="\"data_dir\": \"$work/$1-data\","; fi
  cat >"$work/$1.json" <<JSON
{
  "node_name": "$1", "data_centre": "$2", "region": "delta-south",
  "listen": {
    "caller_address": "127.0.0.1:$3", "exit_address": "127.0.0.1:$(($3 + 1))",
    "peer_address": "127.0.0.1:$(($3 + 2))", "gossip_address": "127.0.0.1:$(($3 + 3))",
    "control_address": "127.0.0.1:$(($3 + 4))"
    $(if [ "$4" = yes ]; then printf ', "replica_address": "127.0.0.1:%d"' $(($3 + 5)); fi)
  },
  "seeds": ["127.0.0.1:17103"],
  "control_replicas": [
    { "node_name": "north-1", "control_address": "127.0.0.1:17104", "replica_address": "127.0.0.1:17105" }
  ],
  $replica
  "deployment_key_file": "$work/deployment.key",
  "operator_key_file": "$work/operator.key"
}
JSON
}

say "build"
cargo build --release --locked --bins --example backend
bin=target/release

say "start three nodes in two data centres"
head -c 32 /dev/urandom | base64 >"$work/deployment.key"
head -c 32 /dev/urandom | base64 >"$work/operator.key"
settings north-1 north 17100 yes
settings north-2 north 17110 no
settings south-1 south 17120 no
for name in north-1 north-2 south-1; do
  "$bin/tarragond" check "$work/$name.json"
  "$bin/tarragond" run "$work/$name.json" 2>"$work/$name.log" &
  pids+=($!)
done
ctl() { "$bin/tarragonctl" --key-file "$work/operator.key" --node "$@"; }
for port in 17104 17114 17124; do until_ok ctl 127.0.0.1:$port status; done

say "start the replicated log at its only control replica"
ctl 127.0.0.1:17104 replica init
until_ok ctl 127.0.0.1:17124 note list

say "submit a release note"
ctl 127.0.0.1:17124 note submit examples/note.json
is_in_force() { ctl 127.0.0.1:17104 note status first-services | grep -c 'in force at \([0-9]*\) of \1 ' | grep -qx 2; }
until_ok is_in_force
ctl 127.0.0.1:17104 note status first-services

say "start three backend servers, which announce themselves"
# Starts a backend server: backend NAME SERVICE PORT NODE_BASE_PORT [ARGUMENTS]
backend() {
  "$bin/examples/backend" --name "$1" --service "$2" --listen "127.0.0.1:$3" \
    --control "127.0.0.1:$(($4 + 4))" --exit "127.0.0.1:$(($4 + 1))" "${@:5}" 2>"$work/$1.log" &
  pids+=($!)
}
backend passboard-1 passboard 17201 17100 --call ripewatch/rows
backend ripewatch-1 ripewatch 17202 17110
backend ripewatch-2 ripewatch 17203 17120
sees_three() { ctl "127.0.0.1:$1" servers | grep -c ' ready ' | grep -qx 3; }
for port in 17104 17114 17124; do until_ok sees_three $port; done
ctl 127.0.0.1:17104 servers

say "a call of depth 2: passboard calls ripewatch"
answer=$(curl -sS --max-time 5 -D "$work/head" -H 'Tarragon-Service: passboard' http://127.0.0.1:17120/pass/7)
printf '%s\n' "$answer"
grep -qi '^tarragon-outcome: answered' "$work/head" || fail "the outcome is not 'answered'"
[[ $answer == *passboard-1* && $answer == *ripewatch* ]] || fail "the answer is not whole"

say "a streamed upload of 200 MB"
rss() { awk '/VmRSS/ { print int($2 / 1024) }' "/proc/${pids[0]}/status"; }
before=$(rss)
head -c 200000000 /dev/zero | curl -sS --max-time 60 -T - -X POST \
  -H 'Tarragon-Service: ripewatch' http://127.0.0.1:17100/photos/1 >"$work/upload"
cat "$work/upload"
grep -q 'received 200000000 bytes' "$work/upload" || fail "the upload did not arrive whole"
printf 'memory of the entry: %s MB before, %s MB after\n' "$before" "$(rss)"

say "a weigh-in that runs once, sent twice"
key=$(curl -sS --max-time 5 -X POST 'http://127.0.0.1:17100/tarragon/keys?service=ripewatch&count=1' | grep -o 'tl1-[0-9a-f-]*' | head -n 1)
for _ in 1 2; do
  curl -sS --max-time 5 -X POST -H 'Tarragon-Service: ripewatch' -H "Idempotency-Key: $key" \
    -d 'lug 12' http://127.0.0.1:17100/weigh-ins
done

say "drain the backend server ripewatch-1"
ctl 127.0.0.1:17114 drain
sees_drain() { ctl 127.0.0.1:17104 servers | grep -q 'north-2 ripewatch draining'; }
until_ok sees_drain
for _ in $(seq 20); do
  answer=$(curl -sS --max-time 5 -H 'Tarragon-Service: ripewatch' http://127.0.0.1:17100/rows/1)
  [[ $answer == *ripewatch-2* ]] || fail "a drained backend server got new work: $answer"
done
printf '20 calls, all answered by ripewatch-2\n'

say "stop a node with SIGTERM; it drains and exits 0"
kill -TERM "${pids[1]}"
wait "${pids[1]}" || fail "the node did not exit with 0"
printf 'exit code 0\n'

say "all steps succeeded"
