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
# Swapped in whole, and only if it differs: a process that starts meanwhile would
# find half of a package and end.
if ! diff -rq --exclude=__pycache__ src/azurefold target/deps/azurefold >/dev/null 2>&1
then
    rm -rf target/next target/last
    cp -r src/azurefold target/next
    python3 -m compileall -q -s target/next -p azurefold target/next
    if [ -e target/deps/azurefold ]; then mv target/deps/azurefold target/last; fi
    mv target/next target/deps/azurefold
    rm -rf target/last
fi
