"""Identity of a numbered version of weights."""

from typing import NamedTuple

from ragwortcourse.identifiers import ModelName


class ModelVersion(NamedTuple):
    """One version of one model.

    Operators number the versions of each model separately, so a number alone
    names no weights.
    """

    model: ModelName
    version: int
