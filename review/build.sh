#!/usr/bin/env bash
# Builds the stand-ins of the scripts: Python files of this folder, standard library only.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m py_compile standins.py */case.py
