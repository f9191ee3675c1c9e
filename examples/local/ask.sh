#!/usr/bin/env bash
# Sends one request to the deployment that start.sh runs.
set -eu
cd "$(dirname "$0")/../.."
# The steps
curl --silent --show-error --include \
  --header 'Authorization: Bearer example-key-demo' \
  --header 'Time-Limit: 20' \
  --data '{"prompt": "When is high tide at Nungwi?", "max_output_tokens": 8}' \
  http://127.0.0.1:18080/v1/workspaces/demo/services/chat/requests
