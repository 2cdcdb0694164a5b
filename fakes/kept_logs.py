"""Logs of runs that failed, each in a folder of its own."""

import datetime as dt
import os
import pathlib
import re
import shutil
from typing import Final

PATTERNS: Final = ('*.log', '*.jsonl')
NAME_LENGTH: Final = 80


def keep_logs(
    *, source: pathlib.Path, kept: pathlib.Path, name: str
) -> pathlib.Path | None:
    """Copy the logs of one run to a new folder; none where it has no logs.

    :param source: folder in which the run's processes wrote.
    :param kept: folder of the runs that are kept.
    :param name: what ran.
    """
    logs = [path for pattern in PATTERNS for path in source.glob(pattern)]
    if not logs:
        return None
    now = dt.datetime.now(dt.UTC)
    plain = re.sub(r'\W+', '-', name)[-NAME_LENGTH:]
    # Time and process tell runs of one test apart, at once ones too.
    folder = kept / f'{now:%Y%m%dT%H%M%S%f}-{os.getpid()}-{plain}'
    folder.mkdir(parents=True)
    for path in logs:
        shutil.copy2(path, folder)
    return folder
