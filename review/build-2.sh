#!/usr/bin/env bash
# Prepares the scripts of the second review. The stand-ins are Python and need no
# compiler: this checks that they can be imported with what the deploy file has built.
set -euo pipefail
cd "$(dirname "$0")/.."
export PYTHONPATH="$PWD/target/deps:$PWD"
python3 -c 'import httptools, msgspec, rosemarypath.platform.dialect'
python3 -c 'import standins.platformstore, review.lab'
