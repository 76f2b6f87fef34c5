#!/bin/bash
# Builds the stand-ins of review/6 to review/10.  They are Python programs that
# use only the libraries of the deploy file's build (target/deps), so that
# there is nothing to compile; this checks that they can be loaded.
set -eu
cd "$(dirname "$0")/.."
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=target/deps python3 -S -c '
import sys
sys.path.insert(0, "review/standins2")
import harness
'
