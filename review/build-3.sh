#!/bin/sh
# Builds the stand-ins of the cases 11 to 15: Python sources of this folder that
# use the standard library alone. Compiles them in memory, to find errors early.
set -eu
cd "$(dirname "$0")"
python3 - <<'END'
import pathlib

for path in sorted(pathlib.Path().glob('stand_ins_3.py')) + sorted(
    pathlib.Path().glob('1[1-5]/case.py')
):
    compile(path.read_text(), str(path), 'exec')
END
