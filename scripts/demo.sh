#!/usr/bin/env bash
# Builds everything, starts stand-ins and three nodes, sends real requests of
# both users' kinds and checks every answer. Stops all that it started.
set -euo pipefail
cd "$(dirname "$0")/.."

cargo build --workspace --bins --release --locked
bin=target/release
dir=$(mktemp -d)
pids=()
nodes=()
bookings=()

. scripts/lib.sh

trap 'stop_all "${pids[@]}"; rm -rf "$dir"' EXIT

fail() {
  echo "demo failed: $*" >&2
  tail -n 5 "$dir"/node-*.log >&2 || true
  exit 1
}

node() {
  local name=node-$1 zone=zone-$1
  cat >"$dir/$name.toml" <<SETTINGS
node = "$name"
region = "demo"
zone = "$zone"
listen = "127.0.0.1:0"
internal_listen = "127.0.0.1:0"
cluster_secret = "demo-secret-of-the-cluster"
config_service = ["$config"]
membership_service = ["$members"]
seeds = [$seeds]
[trace]
path = "$dir/$name.trace"
SETTINGS
  "$bin/verbenahubd" --config "$dir/$name.toml" 2>"$dir/$name.log" &
  pids+=($!)
  nodes+=("$(wait_match "$dir/$name.log" 'listen: [0-9.:]+' | cut -d' ' -f2)")
  address=$(wait_match "$dir/$name.log" 'internal: [0-9.:]+' | cut -d' ' -f2)
  seeds="\"$address\""
  list_vm "$name" node "$zone" ""
}

echo "== stand-ins"
standin config config-service
config=$address
standin members membership-list
members=$address
standin weights weight-store
weights=$address
for n in 1 2 3; do
  zone=zone-$n
  target "encoder-$n" encoders "$zone" "" pool --kind encode
  target "retriever-$n" retrievers "$zone" "" pool --kind retrieve
  target "reranker-$n" rerankers "$zone" "" pool --kind rerank
  target "engine-$n" engines "$zone" ',"models":["trade-8b"]' \
    engine --model trade-8b@2026-11 --weights "$weights"
  target "booking-$n" booking "$zone" "" service --name booking --outcome-query
  bookings+=("$address")
done

echo "== records"
"$bin/verbenahub" check examples/records/*.toml
publish_records

echo "== nodes"
seeds=""
for n in 1 2 3; do node "$n"; done
at=()
for address in "${nodes[@]}"; do at+=(--node "$address"); done
"$bin/verbenahub" status "${at[@]}" --ready --wait "10 s" >"$dir/status" || fail "the nodes are not ready"

echo "== a visit with a booking (Pinehollow)"
export VERBENAHUB_SECRET=rest-well-secret
printf 'Turn the mattress in room 12 of the care home on Monday.' >"$dir/visit"
"$bin/verbenahub" call "${at[@]}" --pipeline visit --workspace pinehollow "$dir/visit" || fail "visit"
echo
echo "== a survey with photos (Sealwise)"
export VERBENAHUB_SECRET=clear-pane-secret
head -c 200000 "$bin/verbenahub" >"$dir/photos"
"$bin/verbenahub" call "${at[@]}" --pipeline survey --workspace sealwise "$dir/photos" || fail "survey"
echo
echo "== a chat that streams (Sealwise)"
printf 'Why is my pane fogged at night?' >"$dir/chat"
"$bin/verbenahub" call "${at[@]}" --pipeline chat --workspace sealwise "$dir/chat" || fail "chat"
echo
echo "== short load, both users' mixes"
for mix in pinehollow sealwise; do
  "$bin/verbenahub" load "${at[@]}" --mix "examples/load/$mix.toml" --rate "15 /s" \
    --duration "6 s" --least-attainment 0.99 || fail "load of $mix"
done
echo "== status"
"$bin/verbenahub" status "${at[@]}"

echo "== booking ledger"
: >"$dir/ledger"
for address in "${bookings[@]}"; do http GET "$address" /ledger >>"$dir/ledger"; done
booked=$(grep -o '"key":"[^"]*"' "$dir/ledger" | wc -l)
distinct=$(grep -o '"key":"[^"]*"' "$dir/ledger" | sort -u | wc -l)
answered=0
for address in "${nodes[@]}"; do
  count=$(http GET "$address" /metrics |
    awk '/^verbenahub_requests_total\{.*outcome="done".*pipeline="visit"/{sum+=$NF} END{print sum+0}')
  answered=$((answered + count))
done
echo "$booked bookings, $distinct distinct, $answered visits answered"
[ "$booked" -gt 0 ] && [ "$booked" = "$distinct" ] && [ "$booked" = "$answered" ] || fail "the ledger is not exact"

echo "== one trace"
for pid in "${pids[@]: -3}"; do kill -TERM "$pid"; done
for pid in "${pids[@]: -3}"; do wait "$pid" || fail "a node did not stop gracefully"; done
cat "$dir"/node-*.trace | tr '{' '\n' | grep -oE '"traceId":"[0-9a-f]+","spanId":"[0-9a-f]+".*"name":"[^"]*"' |
  awk -F'"' '
    { for (i = 1; i < NF; i++) if ($i == "name") name = $(i + 2)
      spans[$4] = spans[$4] "  trace " substr($4, 1, 8) " span " $8 "  " name "\n"; count[$4]++ }
    END { for (id in count) if (count[id] > count[most]) most = id; printf "%s", spans[most] }'
echo "demo passed: every answer whole, the ledger exact"
