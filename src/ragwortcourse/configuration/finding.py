"""Errors in configuration or settings, each with its place."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Finding:
    """One error, with its place and the values that are allowed there.

    :param place: path such as ``models[2].limits.cold``; empty for the whole.
    :param value: rejected value, as text.
    :param allowed: description of the allowed values.
    :param message: description of the error for an operator.
    """

    place: str
    value: str
    allowed: str
    message: str
