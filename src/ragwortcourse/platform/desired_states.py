"""Decoder of the desired state that operators write."""

import logging
import math
from collections import defaultdict
from typing import Final

import msgspec

from ragwortcourse.addresses import parse_address
from ragwortcourse.decoding import decode_json
from ragwortcourse.forwarding.account import Account
from ragwortcourse.forwarding.desired_state import DesiredState
from ragwortcourse.forwarding.engine_profile import EngineProfile
from ragwortcourse.forwarding.route import Route, ServiceShare
from ragwortcourse.forwarding.service_rules import ServiceRules
from ragwortcourse.identifiers import (
    ClientAccountName,
    FailureDomainName,
    ModelName,
    RegionName,
    ServiceName,
)
from ragwortcourse.ingress.client_limits import NO_LIMITS, ClientLimits
from ragwortcourse.platform.wire_state import (
    WireEngine,
    WireLimits,
    WireRoute,
    WireService,
    WireState,
    WireTenant,
)

SECONDS_PER_MILLISECOND: Final = 0.001
BYTES_IN_MEGABIT: Final = 125_000

LOGGER: Final = logging.getLogger(__name__)


def decode_desired_state(content: bytes) -> DesiredState:
    """Decode the desired state in a row.

    The state is taken whole or not at all: a part of it may be wrong for
    requests that another part allows.

    :raises UnreadableError: the bytes are not a desired state, or some part of
        it can't be applied.
    """
    wire = decode_json(content, WireState)
    by_host: dict[str, list[Route]] = defaultdict(list)
    for wire_route in wire.routes:
        by_host[wire_route.host.lower()].append(_decode_route(wire_route))
    return DesiredState(
        version=wire.version,
        routes={
            host: tuple(sorted(routes, key=_read_prefix_length, reverse=True))
            for host, routes in by_host.items()
        },
        services={
            ServiceName(service.name): _decode_service(service)
            for service in wire.services
        },
        accounts=_decode_accounts(wire.tenants),
        client_limits=_decode_limits(wire.limits),
    )


def _read_prefix_length(route: Route) -> int:
    return len(route.prefix)


def _decode_route(wire: WireRoute) -> Route:
    shares = tuple(
        ServiceShare(service=ServiceName(share.service), weight=share.weight)
        for share in wire.split
    )
    sole_share = ServiceShare(service=ServiceName(wire.service), weight=1)
    return Route(
        name=wire.name,
        host=wire.host,
        prefix=wire.prefix,
        kind=wire.route_type,
        services=shares or (sole_share,),
        time_limit=wire.timeout_ms * SECONDS_PER_MILLISECOND,
        objective=wire.slo_ms * SECONDS_PER_MILLISECOND,
        longest_gap=wire.gap_target_ms * SECONDS_PER_MILLISECOND,
        max_tries=max(wire.max_attempts, 1),
        public=wire.public,
        resumable=wire.resumable,
        priority=wire.priority,
        regions=_decode_regions(wire.allowed_regions),
    )


def _decode_regions(names: list[str]) -> frozenset[RegionName]:
    return frozenset(RegionName(name) for name in names)


def _decode_service(wire: WireService) -> ServiceRules:
    return ServiceRules(
        name=ServiceName(wire.name),
        cold_rate=wire.cold_per_s,
        connections=wire.max_conns,
        engine=None if wire.engine is None else _decode_engine(wire.engine),
        origin=parse_address(wire.origin) if wire.origin else '',
        origin_domain=FailureDomainName(wire.zone) if wire.zone else None,
        origin_rate=wire.link_mbps * BYTES_IN_MEGABIT,
    )


def _decode_engine(wire: WireEngine) -> EngineProfile | None:
    if not wire.models:
        return None
    return EngineProfile(
        model=ModelName(wire.models[0].name),
        slots=wire.slots,
        step=wire.step_ms * SECONDS_PER_MILLISECOND,
        step_per_request=wire.per_seq_ms * SECONDS_PER_MILLISECOND,
        prefill_rate=wire.read_per_s,
        steps_per_pass=wire.stride,
        mean_prompt_tokens=wire.usual.prompt,
        mean_answer_tokens=wire.usual.answer,
        layers=wire.layers,
        chunks=wire.chunks,
        chunk_bytes=wire.chunk_bytes,
        memory_tokens=wire.kv_capacity,
    )


def _decode_limits(content: object) -> ClientLimits:
    """Decode the limits on clients; unreadable ones limit nothing."""
    if content is None:
        return NO_LIMITS
    try:
        wire = msgspec.convert(content, WireLimits)
    except msgspec.ValidationError as error:
        LOGGER.warning(
            'unreadable limits on clients ignored',
            extra={'detail': str(error)},
        )
        return NO_LIMITS
    header_seconds = wire.header_timeout_ms * SECONDS_PER_MILLISECOND
    idle_seconds = wire.idle_timeout_ms * SECONDS_PER_MILLISECOND
    return ClientLimits(
        header_bytes=wire.max_header_bytes or math.inf,
        body_bytes=wire.max_body_bytes or math.inf,
        header_seconds=header_seconds or math.inf,
        idle_seconds=idle_seconds or math.inf,
    )


def _decode_accounts(
    tenants: list[WireTenant] | None,
) -> dict[str, Account] | None:
    if tenants is None:
        return None
    return {
        key: Account(
            name=ClientAccountName(tenant.name),
            priority=tenant.priority,
            regions=_decode_regions(tenant.allowed_regions),
        )
        for tenant in tenants
        for key in tenant.api_keys
    }
