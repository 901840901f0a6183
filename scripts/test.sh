#!/usr/bin/env bash
# Runs the whole test suite; prints and passes over the tests in KNOWN-RED.txt.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --workspace --bins --locked
skips=()
if [ -s KNOWN-RED.txt ]; then
  echo "known red tests, passed over:"
  grep -v '^#' KNOWN-RED.txt || true
  while read -r name _; do skips+=(--skip "$name"); done < <(grep -v '^#' KNOWN-RED.txt)
fi
cargo test --workspace --locked --no-fail-fast -- "${skips[@]}"
