#!/usr/bin/env bash
# Builds the stand-ins of the cases from 4 on. They need the standard library
# of the interpreter that the deploy file names, and nothing else.
set -eu
cd "$(dirname "$0")/.."
python3 -m compileall -q review/standins_2
