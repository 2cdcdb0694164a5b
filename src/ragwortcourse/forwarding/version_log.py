"""Log lines that tell why a request began on a version of the weights."""

import logging
import math
from typing import Final

from opentelemetry import metrics

from ragwortcourse.clock import read_clock_with_suspend
from ragwortcourse.forwarding.answer_head import AnswerHead
from ragwortcourse.forwarding.engine_profile import EngineProfile
from ragwortcourse.forwarding.forwarder import Forwarder
from ragwortcourse.forwarding.target import Target
from ragwortcourse.forwarding.version_bounds import (
    VERSION_MARGIN_SECONDS,
    VersionBound,
    find_bound,
    find_engine,
    read_required_version,
)
from ragwortcourse.identifiers import ModelName

# Longest transit of an answer. One that arrives later after a bound began
# after it, too.
ANSWER_SECONDS: Final = 0.2

LOGGER: Final = logging.getLogger(__name__)
EXPIRED_ANSWERS: Final = metrics.get_meter(__name__).create_counter(
    'ragwortcourse.forwarding.expired_answers',
    description='answers on weights older than requests may begin on',
)


class RequiredVersionLog:
    """Lowest version of each model that requests may begin on, as logged."""

    def __init__(self, *, forwarder: Forwarder) -> None:
        self._forwarder = forwarder
        self._logged: dict[ModelName, int] = {}

    def note_round(self) -> None:
        """Log each model whose requests must begin on a newer version now."""
        desired = self._forwarder.state.desired
        for rules in () if desired is None else desired.services.values():
            if rules.engine is not None:
                self._note(rules.engine)

    def _note(self, engine: EngineProfile) -> None:
        bound = find_bound(self._forwarder, engine, VERSION_MARGIN_SECONDS)
        version = 0 if bound is None else bound.named.version
        before = self._logged.get(engine.model, 0)
        self._logged[engine.model] = version
        if version == before:
            return
        LOGGER.info(
            'lowest version that requests may begin on changed',
            extra={
                'model': engine.model,
                'version': version,
                'before': before,
                **_describe_bound(bound),
            },
        )


def describe_version(forwarder: Forwarder, target: Target) -> dict[str, object]:
    """Describe what the daemon believes of the weights of a target."""
    engine = find_engine(forwarder, target)
    if engine is None:
        return {}
    load = forwarder.find_load(target)
    return {
        'version_held': load.read_version(target),
        'version_stated': load.stated_version.number,
        'version_stated_by': load.stated_version.source,
        'version_required': read_required_version(forwarder, engine),
    }


def warn_expired(
    forwarder: Forwarder, target: Target, head: AnswerHead
) -> None:
    """Log and count an answer that began on expired weights."""
    bound = find_bound(
        forwarder, find_engine(forwarder, target), -ANSWER_SECONDS
    )
    if bound is None or head.version is None or not head.ran:
        return
    if head.version >= bound.named.version:
        return
    EXPIRED_ANSWERS.add(1)
    LOGGER.warning(
        'request began on expired weights',
        extra={
            'target': target.name,
            'born': target.born,
            'version': head.version,
            **describe_version(forwarder, target),
            **_describe_bound(bound),
        },
    )


def _describe_bound(bound: VersionBound | None) -> dict[str, object]:
    """Describe on what a bound is based; ages in seconds."""
    if bound is None:
        return {}
    now = read_clock_with_suspend()
    outage_ago = now - bound.outage_at
    is_outage_known = math.isfinite(outage_ago)
    return {
        'seconds_left': round(bound.expires_at - now, 2),
        'named_seconds_ago': round(now - bound.named.seen_at, 2),
        'observed': bound.named.observed,
        'told_by': bound.named.told_by,
        'outage_seconds_ago': (
            round(outage_ago, 2) if is_outage_known else None
        ),
    }
