#!/usr/bin/env bash
# Plays the case once; exits with 1 if the rule was broken, 0 if it held, 2 otherwise.
cd "$(dirname "$0")/../.."
export PYTHONPATH=target/deps PYTHONDONTWRITEBYTECODE=1
exec python3 -m review.5.case
