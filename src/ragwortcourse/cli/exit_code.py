"""Exit codes of the commands."""

import enum


class ExitCode(enum.IntEnum):
    """Exit codes of every command.

    ``REFUSED``: findings, or a daemon refused the request. ``USAGE``: wrong
    options or arguments. ``UNREACHABLE``: no entry daemon was reached and
    nothing was changed. ``CONFLICT``: another operator's change was accepted
    first. ``UNKNOWN``: the change may have taken effect.
    """

    OK = 0
    REFUSED = 1
    USAGE = 2
    UNREACHABLE = 3
    CONFLICT = 4
    UNKNOWN = 5
