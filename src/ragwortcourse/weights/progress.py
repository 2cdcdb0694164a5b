"""Progress of an agent's weight transfers."""

from ragwortcourse.messages.target_status import WeightTransferProgress
from ragwortcourse.weights.agent_weights import AgentWeights
from ragwortcourse.weights.transfer import Transfer
from ragwortcourse.weights.wanted import WantedWeights


def describe_progress(
    agent_weights: AgentWeights,
) -> WeightTransferProgress | None:
    """Describe the progress of the wanted version; None once it is served."""
    wanted = agent_weights.state.wanted
    if wanted is None:
        return None
    is_served = agent_weights.served.allows(wanted.model, wanted.version, None)
    if is_served and not agent_weights.state.detail:
        return None
    transfer = agent_weights.exchange.transfers.get(wanted.manifest_sha256)
    if transfer is None:
        return WeightTransferProgress(
            model=wanted.model,
            version=wanted.version,
            held=0,
            total=0,
            detail=agent_weights.state.detail,
        )
    return _describe_transfer(agent_weights, wanted, transfer)


def _describe_transfer(
    agent_weights: AgentWeights, wanted: WantedWeights, transfer: Transfer
) -> WeightTransferProgress:
    from_origin = transfer.counts.received['origin']
    verified = transfer.counts.verified
    total = 0 if transfer.manifest is None else transfer.manifest.size
    rate = 0 if transfer.ended_at else transfer.counts.rate.read()
    return WeightTransferProgress(
        model=wanted.model,
        version=wanted.version,
        held=min(verified, total),
        total=total,
        from_origin=from_origin,
        from_peers=verified - from_origin,
        rate=rate,
        seconds_left=_estimate_end(transfer, total - verified, rate),
        detail=agent_weights.state.detail,
    )


def _estimate_end(
    transfer: Transfer, missing: int, rate: float
) -> float | None:
    """Estimate the remaining seconds at the current download rate."""
    if transfer.ended_at:
        return 0
    if transfer.manifest is None or rate <= 0:
        return None
    return max(missing, 0) / rate
