#!/bin/bash
# Plays the case; see claim.txt.
cd "$(dirname "$0")/../.." || exit 2
PYTHONPATH=target/deps exec timeout -k 5 118 python3 -S review/9/case.py
