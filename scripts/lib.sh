# Functions that the demo and the measurements share. Needs `bin` (where the
# programs are), `dir` (a folder for this run) and `pids` (an array).

# Waits until a file holds a line that matches a pattern, and prints its first
# match.
wait_match() {
  local file=$1 pattern=$2
  for _ in $(seq 100); do
    if grep -oE -m1 "$pattern" "$file" 2>/dev/null; then return 0; fi
    sleep 0.1
  done
  return 1
}

# Sends an HTTP request with bash alone: method, address, path, optional file.
http() {
  local method=$1 address=$2 path=$3 body=${4:-/dev/null} length
  length=$(wc -c <"$body")
  exec 3<>"/dev/tcp/${address%:*}/${address#*:}"
  printf '%s %s HTTP/1.1\r\nhost: %s\r\nconnection: close\r\ncontent-length: %s\r\n\r\n' \
    "$method" "$path" "$address" "$length" >&3
  cat "$body" >&3
  sed '1,/^\r$/d' <&3
  exec 3<&- 3>&-
}

# Starts a stand-in and sets `address` to where it listens.
standin() {
  local name=$1
  shift
  "$bin/verbenahub-standin" "$@" --max-life "590 s" >"$dir/$name.out" 2>"$dir/$name.err" &
  pids+=($!)
  address=$(wait_match "$dir/$name.out" '127\.0\.0\.1:[0-9]+')
}

# Puts the VM at `address` into the list `members`: id, role, zone, more JSON.
list_vm() {
  local id=$1 role=$2 zone=$3 extra=$4
  printf '{"role":"%s","address":"%s","region":"demo","zone":"%s","state":"live"%s}' \
    "$role" "$address" "$zone" "$extra" >"$dir/vm.json"
  http POST "$members" "/admin/put?key=vms/$id" "$dir/vm.json" >/dev/null
}

# Starts a target and lists it: name, pool, zone, more JSON, its arguments.
target() {
  local name=$1 pool=$2 zone=$3 extra=$4
  shift 4
  standin "$name" "$@"
  list_vm "$name" target "$zone" ",\"pool\":\"$pool\"$extra"
  echo "$address" >"$dir/$name.address"
}

# Publishes the sample records at the configuration service `config`.
publish_records() {
  local file key
  for file in examples/records/*.toml; do
    key=$("$bin/verbenahub" render "$file" | cut -d' ' -f1)
    http POST "$config" "/admin/put?key=$key" "$file" >/dev/null
  done
}

# Stops processes gracefully and waits for their end.
stop_all() {
  local pid
  for pid in "$@"; do kill -TERM "$pid" 2>/dev/null || true; done
  for pid in "$@"; do wait "$pid" 2>/dev/null || true; done
}
