"""Large requests of daemons at targets, told in their load messages.

Load pattern: others count a request by the mean of its service. A few are many
times as long, and two of them from two daemons may exceed an engine's memory.
"""

from collections.abc import Mapping

from ragwortcourse.bounded import WholeNumber
from ragwortcourse.clock import read_clock
from ragwortcourse.forwarding.balancing.memory import count_excess
from ragwortcourse.forwarding.forwarder import Forwarder
from ragwortcourse.forwarding.load_messages import LoadMessage
from ragwortcourse.identifiers import TargetName


def list_excess(forwarder: Forwarder) -> Mapping[TargetName, WholeNumber]:
    """List the tokens of own requests beyond the mean of their service."""
    state = forwarder.state
    services = {} if state.desired is None else state.desired.services
    found: dict[TargetName, int] = {}
    for name in forwarder.count_running():
        target = state.targets.get(name)
        rules = None if target is None else services.get(target.service)
        if target is None or rules is None or rules.engine is None:
            continue
        excess = count_excess(forwarder.find_load(target), rules.engine)
        if excess:
            found[name] = excess
    return found


def note_excess(forwarder: Forwarder, message: LoadMessage) -> None:
    """Apply what another daemon tells of its large requests."""
    forwarder.balancing.peer_tokens.note(
        message.daemon,
        {name: (excess, 0) for name, excess in message.excess.items()},
        read_clock(),
    )
