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
    agent_weights: AgentWeights,
    digest: Sha256Hex,
    subject: OrderSubject,
    version: str,
) -> CollectOutcome:
    """Download the weights of a manifest into the engine.

    A digest whose weights failed for a lasting reason is not tried again.

    :param digest: of the manifest.
    :param version: version that the manifest must name.
    """
    if digest in agent_weights.state.refused:
        return CollectFailed(
            detail=agent_weights.state.refused[digest], lasting=True
        )
    transfer = agent_weights.open_transfer(digest)
    agent_weights.state.detail = 'draws chunks'
    outcome = await collect_weights(agent_weights, transfer, subject, version)
    if isinstance(outcome, CollectFailed) and outcome.lasting:
        agent_weights.state.refused[digest] = outcome.detail
    return outcome
