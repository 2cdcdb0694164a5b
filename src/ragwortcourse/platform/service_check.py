"""Check of the services and the limits on clients of a desired state."""

from collections.abc import Collection, Iterator
from typing import Final

import msgspec

from ragwortcourse.addresses import parse_address
from ragwortcourse.bounded import MAX_WHOLE
from ragwortcourse.configuration.finding import Finding
from ragwortcourse.configuration.rules import (
    build_finding,
    check_known,
    check_range,
    check_unique,
)
from ragwortcourse.platform.wire_state import WireEngine, WireService
from ragwortcourse.unreadable import UnreadableError

LIMITS: Final = 'limits'


class CheckedLimits(msgspec.Struct, kw_only=True):
    """Limits on the connections of clients; none if absent."""

    max_header_bytes: int | None = None
    max_body_bytes: int | None = None
    header_timeout_ms: float | None = None
    idle_timeout_ms: float | None = None


def check_services(
    services: Collection[WireService], domains: Collection[str] | None
) -> Iterator[Finding]:
    """Yield the findings in services, with their places.

    :param domains: names of the failure domains; none if not known.
    """
    yield from check_unique(
        {
            f'services[{index}].name': service.name
            for index, service in enumerate(services)
        }
    )
    for index, service in enumerate(services):
        place = f'services[{index}]'
        if service.origin:
            yield from _check_origin(place, service, domains)
        elif service.engine is not None:
            yield from _check_engine(f'{place}.engine', service.engine)


def check_client_limits(limits: CheckedLimits) -> Iterator[Finding]:
    """Yield the findings in the limits on clients."""
    for name, limit in msgspec.structs.asdict(limits).items():
        if limit is not None:
            yield from check_range(f'{LIMITS}.{name}', limit, 1, MAX_WHOLE)
    idle, header = limits.idle_timeout_ms, limits.header_timeout_ms
    if idle is not None and header is not None and idle < header:
        yield build_finding(
            f'{LIMITS}.idle_timeout_ms',
            idle,
            f'at least header_timeout_ms, {header:g}',
            'ends connections on which a header section may still arrive',
        )


def _check_origin(
    place: str, service: WireService, domains: Collection[str] | None
) -> Iterator[Finding]:
    try:
        parse_address(service.origin)
    except UnreadableError as error:
        yield build_finding(
            f'{place}.origin', service.origin, 'ip:port', str(error)
        )
    if domains is not None and service.zone:
        yield from check_known(
            f'{place}.zone', service.zone, frozenset(domains), 'failure domain'
        )


def _check_engine(place: str, engine: WireEngine) -> Iterator[Finding]:
    if not engine.slots:
        yield build_finding(
            f'{place}.slots', 0, 'above zero', 'no request can begin'
        )
    if not engine.models:
        yield build_finding(
            f'{place}.models',
            [],
            'at least one model',
            'the engine serves none',
        )
