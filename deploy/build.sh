#!/usr/bin/env bash
# Puts the gateway and its pinned libraries, compiled, into target/deps.
#
# Each build is a folder of its own, named after what it was made from and for: sources,
# requirements, kind of machine and Python. target/deps is a link to the newest one, which
# is replaced at once, so that a process that starts meanwhile finds one of the two whole.
set -euo pipefail
cd "$(dirname "$0")/.."

LONGEST_WAIT_S=840  # A build may take 15 minutes in all.
mkdir -p target/libraries target/builds
exec 9>target/build.lock
if ! flock -w "$LONGEST_WAIT_S" 9; then
    echo "deploy/build.sh: another build has run for $LONGEST_WAIT_S s" >&2
    exit 1
fi

digest() {
    sha256sum | cut -c1-16
}

machine=$(python3 -c 'import sys, sysconfig; print(sysconfig.get_platform(), sys.version)')
libraries=$( (echo "$machine"; cat deploy/requirements.txt) | digest)
sources=$(cd src && find azurefold -type f -not -path '*/__pycache__/*' -print0 |
    sort -z | xargs -0 sha256sum | digest)
build=$libraries-$sources

rm -rf target/libraries/*.partial target/builds/*.partial
if [ ! -e "target/libraries/$libraries" ]; then
    python3 -m pip install --quiet --upgrade --no-deps \
        --target "target/libraries/$libraries.partial" -r deploy/requirements.txt
    mv "target/libraries/$libraries.partial" "target/libraries/$libraries"
fi
if [ ! -e "target/builds/$build" ]; then
    cp -rl "target/libraries/$libraries" "target/builds/$build.partial"
    cp -r src/azurefold "target/builds/$build.partial/azurefold"
    python3 -m compileall -q -s "target/builds/$build.partial" -p azurefold \
        "target/builds/$build.partial/azurefold"
    mv "target/builds/$build.partial" "target/builds/$build"
fi

before=$(readlink target/deps || true)
if [ "$before" != "builds/$build" ]; then
    # Earlier releases built into a folder, which a link can't replace at once.
    if [ -e target/deps ] && [ ! -L target/deps ]; then
        rm -rf target/deps.former
        mv target/deps target/deps.former
    fi
    ln -sfn "builds/$build" target/deps.next
    mv -T target/deps.next target/deps
fi

# Processes may still be loading the build before this one.
for each in target/builds/* target/libraries/*; do
    case "$each" in
        "target/builds/$build" | "target/$before" | "target/libraries/$libraries") ;;
        *) rm -rf "$each" ;;
    esac
done
rm -rf target/deps.former
