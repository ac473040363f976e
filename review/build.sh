#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts: they are Python and need no compiling,
# so this checks that they load with the packages that the deploy file's build installs.
set -euo pipefail
cd "$(dirname "$0")/.."
export PYTHONPATH=target/deps PYTHONDONTWRITEBYTECODE=1
python3 -c "import review.harness, standins.platformstore, standins.replica"
