"""Hosts whose engine holds a version.

Load pattern: an engine is added, or restarts, while others serve a version.
Its chunks and manifest come from their hosts, not over the origin's link.
"""

from ragwortcourse.forwarding.fleet_state import FleetState
from ragwortcourse.identifiers import FailureDomainName, ModelName


def list_holders(
    state: FleetState,
    model: ModelName,
    version: int,
    domain: FailureDomainName,
) -> list[str]:
    """List the loaders' hosts in a failure domain whose engine has a version.

    :return: addresses without port.
    """
    if state.desired is None:
        return []
    engines = {
        name: rules.engine
        for name, rules in state.desired.services.items()
        if rules.engine is not None and rules.engine.model == model
    }
    near = [
        target
        for target in state.targets.values()
        if target.service in engines and target.failure_domain == domain
    ]
    return [
        target.address.rpartition(':')[0]
        for target in near
        if target.weights is not None
        and target.weights.version == version
        and target.holds(engines[target.service])
    ]
