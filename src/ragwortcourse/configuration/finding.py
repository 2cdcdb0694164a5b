"""One thing wrong in what a person wrote, with its place."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Finding:
    """What is wrong, where, and what is allowed there.

    :param place: path such as ``models[2].limits.cold``; empty for the whole.
    :param value: the value found, as text.
    :param allowed: what may stand there.
    :param message: one sentence for a person.
    """

    place: str
    value: str
    allowed: str
    message: str
