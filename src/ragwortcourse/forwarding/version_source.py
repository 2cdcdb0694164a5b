"""Sources of what a daemon knows of the weights of a target."""

from enum import StrEnum


class VersionSource(StrEnum):
    """Who stated the version that a target holds, besides its row."""

    NOBODY = 'nobody'
    ANSWER = 'answer'
    LOADER = 'loader'
