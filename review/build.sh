#!/usr/bin/env bash
# Compiles all stand-ins that the scripts start; they need no other build.
cd "$(dirname "$0")/.." || exit 2
[ -d target/deps/ragwortcourse ] || { echo 'run the build of deploy/system.toml first'; exit 2; }
export PYTHONPATH=target/deps:.
python3 -m compileall -q review fakes/__init__.py fakes/fleet_store.py &&
    python3 -c 'import review.clients, review.harness, review.proxy, review.workers'
