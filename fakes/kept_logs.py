"""Copies of the logs of failed runs, one new folder for each run."""

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
    """Copy the logs of one run to a new folder.

    :param source: folder with the logs of the run.
    :param kept: parent of the folders of kept runs.
    :param name: name of the test or command that ran.
    :return: the new folder; none if the run left no logs.
    """
    logs = [path for pattern in PATTERNS for path in source.glob(pattern)]
    if not logs:
        return None
    now = dt.datetime.now(dt.UTC)
    plain = re.sub(r'\W+', '-', name)[-NAME_LENGTH:]
    # Time and process id keep folders of concurrent runs of a test distinct.
    folder = kept / f'{now:%Y%m%dT%H%M%S%f}-{os.getpid()}-{plain}'
    folder.mkdir(parents=True)
    for path in logs:
        shutil.copy2(path, folder)
    return folder
