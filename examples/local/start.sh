#!/usr/bin/env bash
# Starts the stand-ins and both programs on loopback, and ends them with it.
set -eu
cd "$(dirname "$0")/../.."
trap 'kill $(jobs -p)' EXIT
# The steps
export SYCAMORE_PEER_KEY_1=example-peer-key-of-this-machine
.venv/bin/python -m sycamore_standins.platform --port 18000 &
.venv/bin/python -m sycamore_standins.engine --port 19000 &
.venv/bin/sycamore-endpoint run --settings examples/local/chat-1.jsonc &
.venv/bin/sycamore-entry run --settings examples/local/entry.jsonc &
# Publish the settings tree, as operators do.
curl --silent --retry 20 --retry-connrefused --retry-delay 1 \
  --header 'Settings-Version: 1' --data-binary @examples/local/tree.jsonc \
  http://127.0.0.1:18000/test/settings
wait
