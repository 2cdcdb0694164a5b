"""Download of the weights of one manifest, with a record of refusals."""

from ragwortcourse.identifiers import Sha256Hex
from ragwortcourse.weights.agent_weights import AgentWeights
from ragwortcourse.weights.collect import (
    CollectFailed,
    CollectOutcome,
    collect_weights,
)
from ragwortcourse.weights.orders import OrderSubject


async def receive_weights(
    landing: AgentWeights,
    digest: Sha256Hex,
    subject: OrderSubject,
    version: str,
) -> CollectOutcome:
    """Download the weights of a manifest into the engine.

    A digest whose weights failed for a lasting reason is not tried again.

    :param digest: of the manifest.
    :param version: version that the manifest must name.
    """
    if digest in landing.state.refused:
        return CollectFailed(detail=landing.state.refused[digest], lasting=True)
    transfer = landing.open_transfer(digest)
    landing.state.detail = 'draws chunks'
    outcome = await collect_weights(landing, transfer, subject, version)
    if isinstance(outcome, CollectFailed) and outcome.lasting:
        landing.state.refused[digest] = outcome.detail
    return outcome
