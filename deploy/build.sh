#!/usr/bin/env bash
# Puts the gateway and its pinned libraries, compiled, into target/deps.
set -euo pipefail
cd "$(dirname "$0")/.."
if [ ! target/deps/.ready -nt deploy/requirements.txt ]; then
    rm -rf target/deps
    python3 -m pip install --quiet --upgrade --no-deps --target target/deps \
        -r deploy/requirements.txt
    touch target/deps/.ready
fi
rm -rf target/deps/azurefold
cp -r src/azurefold target/deps/azurefold
python3 -m compileall -q target/deps/azurefold
