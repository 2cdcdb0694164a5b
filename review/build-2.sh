#!/bin/sh
# Builds the stand-ins of the cases 6 to 10. They are Python modules that run
# as they are, beside the libraries of the deploy file's build.
cd "$(dirname "$0")/.." || exit 1
PYTHONPATH=target/deps:. PYTHONDONTWRITEBYTECODE=1 exec python3 -c '
import importlib
for name in ("fakes.fleet_store", "review.rig"):
    importlib.import_module(name)
'
