#!/usr/bin/env bash
# Builds what the scripts of the second review start: stand-ins in Python's standard library.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m compileall -q harness
