#!/bin/sh
# Runs a node and the stall measurement against it. Usage: docs/measurements/stall.sh [binary]
set -eu
bin=${1:-bin/geraniumhollow}
tmp=$(mktemp -d)
"$bin" gauge stall --node 127.0.0.1:28470 --platform-file "$tmp/platform" --pid-file "$tmp/pid" &
stall=$!
until [ -s "$tmp/platform" ]; do sleep 0.1; done
platform=$(cat "$tmp/platform")
"$bin" serve --node-name node-0 --data-centre esbjerg --caller-address 127.0.0.1:28470 \
	--operator-address 127.0.0.1:0 --peer-address 127.0.0.1:0 --log-level error \
	--table-address "$platform" --object-address "$platform" --hosts-address "$platform" &
node=$!
echo "$node" >"$tmp/pid"
code=0
wait "$stall" || code=$?
kill "$node"
wait "$node" || true
rm -r "$tmp"
exit "$code"
