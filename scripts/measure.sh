#!/usr/bin/env bash
# Measures attainment and cost by stage with real processes: nine nodes and
# the stand-ins of one deployment, for each policy and load in turn.
#
#   scripts/measure.sh [DEPLOYMENT] [FAULT]
#
# DEPLOYMENT: pinehollow (default) or sealwise.
# FAULT: none (default), slow, silent, kill, config or lag.
# RATES: requests a second (default: shares of the capacity of the stand-ins).
# POLICIES: routing/admission pairs. REPEATS: runs of each. SECONDS_EACH.
set -euo pipefail
cd "$(dirname "$0")/.."

deployment=${1:-pinehollow}
fault=${2:-none}
policies=${POLICIES:-"adaptive/deadline least-in-flight/none round-robin/none"}
repeats=${REPEATS:-3}
seconds=${SECONDS_EACH:-8}
node_count=${NODES:-9}
bin=target/release
dir=$(mktemp -d)
pids=()
node_pids=()

. scripts/lib.sh
trap 'stop_all "${node_pids[@]}" "${pids[@]}"; rm -rf "$dir"' EXIT

lag=0
[ "$fault" = lag ] && lag=2000
standin config config-service
config=$address
config_pid=${pids[-1]}
standin members membership-list
members=$address
engines=4
[ "$deployment" = sealwise ] && engines=6
for n in $(seq $engines); do
  target "engine-$n" engines "zone-$((n % 3))" ',"models":["trade-8b"]' \
    engine --model trade-8b@2026-11 --load-lag-ms "$lag" --seed "$n"
done
for n in 1 2 3; do
  target "encoder-$n" encoders "zone-$((n % 3))" "" pool --kind encode --load-lag-ms "$lag" --seed "$n"
  target "retriever-$n" retrievers "zone-$((n % 3))" "" pool --kind retrieve --load-lag-ms "$lag" --seed "$n"
  target "reranker-$n" rerankers "zone-$((n % 3))" "" pool --kind rerank --load-lag-ms "$lag" --seed "$n"
  target "booking-$n" booking "zone-$((n % 3))" "" service --name booking --outcome-query --load-lag-ms "$lag" --seed "$n"
done
publish_records

start_nodes() {
  local routing=$1 admission=$2 n seeds=""
  at=()
  node_pids=()
  for n in $(seq "$node_count"); do
    rm -f "$dir/node-$n.log"
    cat >"$dir/node-$n.toml" <<SETTINGS
node = "node-$n"
region = "r"
zone = "zone-$((n % 3))"
listen = "127.0.0.1:0"
internal_listen = "127.0.0.1:0"
cluster_secret = "measure-secret-of-the-cluster"
config_service = ["$config"]
membership_service = ["$members"]
seeds = [$seeds]
threads = 1
[policy]
routing = "$routing"
admission = "$admission"
SETTINGS
    "$bin/verbenahubd" --config "$dir/node-$n.toml" 2>"$dir/node-$n.log" &
    node_pids+=($!)
    at+=(--node "$(wait_match "$dir/node-$n.log" 'listen: [0-9.:]+' | cut -d' ' -f2)")
    address=$(wait_match "$dir/node-$n.log" 'internal: [0-9.:]+' | cut -d' ' -f2)
    [ -n "$seeds" ] || seeds="\"$address\""
  done
  "$bin/verbenahub" status "${at[@]}" --ready --wait "20 s" >/dev/null
}

fault_body() { printf '%s' "$1" >"$dir/fault.json"; }

# Brings the fault about while the load runs, and takes it away afterwards.
begin_fault() {
  sleep $((seconds / 2))
  case $fault in
    slow) fault_body '{"slow_factor":5.0}'; http POST "$(cat "$dir/engine-1.address")" /fault "$dir/fault.json" >/dev/null ;;
    silent) fault_body '{"silent_open_connections":true}'; http POST "$(cat "$dir/engine-1.address")" /fault "$dir/fault.json" >/dev/null ;;
    kill) kill -KILL "${node_pids[0]}" ;;
    config) kill -STOP "$config_pid" ;;
  esac
}

end_fault() {
  fault_body '{}'
  case $fault in
    slow | silent) http POST "$(cat "$dir/engine-1.address")" /fault "$dir/fault.json" >/dev/null ;;
    config) kill -CONT "$config_pid" ;;
  esac
}

# Capacity: what loads beyond it were answered in time, 26 streams a second and
# engine, with a quarter of visits that need no engine.
capacity=$((engines * 35))
rates=${RATES:-"$((capacity / 2)) $((capacity * 8 / 10)) $capacity $((capacity * 13 / 10)) $((capacity * 2))"}
echo "deployment=$deployment fault=$fault nodes=$node_count engines=$engines capacity~$capacity/s"
printf '%-26s %6s %4s %10s %10s %9s %9s %9s %8s\n' policy rate run attainment in_time/s p95_first p95_token p99_refus cost/ok
for repeat in $(seq "$repeats"); do
  for policy in $policies; do
    start_nodes "${policy%/*}" "${policy#*/}"
    for rate in $rates; do
      begin_fault &
      fault_pid=$!
      "$bin/verbenahub" load "${at[@]}" --mix "examples/load/$deployment.toml" --rate "$rate /s" \
        --duration "$seconds s" --warmup "2 s" --seed "$repeat" >"$dir/load.txt" ||
        echo "# an answer of the next row was cut"
      wait "$fault_pid"
      end_fault
      awk -v policy="$policy" -v rate="$rate" -v run="$repeat" '
        function field(key,  i) { for (i = 1; i <= NF; i++) if ($i == key) return $(i + 1); return "-" }
        $1 == "all" { attainment = $3 }
        /^ first token/ { first = field("p95") }
        /^ between tokens/ { token = field("p95") }
        /^ refusal/ { refusal = field("p99") }
        /in time .* \/s, cost/ { match($0, /in time [0-9.]+/); good = substr($0, RSTART + 8, RLENGTH - 8); cost = $NF }
        END { printf "%-26s %6s %4s %10s %10s %9s %9s %9s %8s\n", policy, rate, run, attainment, good, first, token, refusal, cost }
      ' "$dir/load.txt"
    done
    stop_all "${node_pids[@]}"
    node_pids=()
  done
done
