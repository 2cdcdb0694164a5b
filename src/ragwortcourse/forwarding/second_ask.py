"""Decision whether a request that its target keeps silent on goes elsewhere.

Load pattern: sound targets fall silent for a second or so and go on, often
half of a service at once. If each of their requests were sent elsewhere, the
other targets would fill up with requests that their first targets go on with,
and new requests would be refused.
"""

import dataclasses
from typing import Final

from ragwortcourse.forwarding.admission import (
    Demand,
    TargetOccupancy,
    is_admitted,
)

# A sound target seldom pauses for longer. Then any free slot is worth taking.
LONG_SECONDS: Final = 1.5


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Silence:
    """Silence of all targets that have a request.

    :param seconds: since the last sign of any of them.
    :param gone: true if these targets have left the list or can't be reached.
    """

    seconds: float
    gone: bool


def is_worth_asking(
    place: TargetOccupancy,
    *,
    prompt_tokens: int,
    silent: bool,
    silence: Silence,
) -> bool:
    """Tell whether one more target should get a request.

    At first a request only takes a slot beyond those kept for new requests.

    :param place: the best target that has not been asked.
    :param silent: true if that target owes answers and sends nothing.
    """
    if silence.gone:
        return True
    if silent:
        return False
    if silence.seconds >= LONG_SECONDS:
        return place.load + 1 <= place.slots
    return is_admitted(place, Demand(prompt_tokens=prompt_tokens, time_left=0))
