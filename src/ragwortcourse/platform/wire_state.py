"""Format in which the platform writes the operators' desired state."""

from typing import Any

import msgspec

from ragwortcourse.bounded import Amount, Milliseconds, WholeNumber
from ragwortcourse.forwarding.call_kind import CallKind


class WireShare(msgspec.Struct, kw_only=True):
    """Share of one service in a split route."""

    service: str
    weight: Amount


class WireRoute(msgspec.Struct, kw_only=True):
    """One route.

    :param route_type: which requests may be repeated, not how the path is
        matched.
    :param slo_ms: target for the time to the answer, or to the first event
        of a stream.
    :param gap_target_ms: longest pause between two events of a stream.
    :param sticky: the prompts of its requests have parts in common.
    """

    name: str
    host: str
    prefix: str
    route_type: CallKind
    timeout_ms: Milliseconds
    slo_ms: Milliseconds = 0
    priority: WholeNumber = 0
    service: str = ''
    split: list[WireShare] = []
    max_attempts: WholeNumber = 1
    public: bool = False
    resumable: bool = False
    gap_target_ms: Milliseconds = 0
    allowed_regions: list[str] = []


class WireModel(msgspec.Struct, kw_only=True):
    """One model of an engine."""

    name: str


class WireUsual(msgspec.Struct, kw_only=True):
    """Mean token counts."""

    prompt: Amount = 0
    answer: Amount = 0


class WireEngine(msgspec.Struct, kw_only=True):
    """Speeds of the engines of a service.

    :param per_seq_ms: added to a step by each request that is generating.
    :param stride: steps of a pass that includes generating requests.
    :param kv_capacity: tokens that an engine holds at once; zero: not stated.
    """

    slots: WholeNumber
    step_ms: Milliseconds = 0
    per_seq_ms: Milliseconds = 0
    read_per_s: Amount = 0
    stride: WholeNumber = 1
    usual: WireUsual = msgspec.field(default_factory=WireUsual)
    models: list[WireModel] = []
    layers: WholeNumber = 0
    chunks: WholeNumber = 0
    chunk_bytes: WholeNumber = 0
    kv_capacity: WholeNumber = 0


class WireService(msgspec.Struct, kw_only=True):
    """One service, or an origin of weights.

    :param max_conns: limit on the connections of all callers together.
    :param origin: address of an origin; empty for a service.
    :param zone: failure domain of an origin; empty for a service.
    :param link_mbps: bandwidth of an origin's link in megabits per second;
        zero if unknown.
    """

    name: str
    max_conns: int = 0
    cold_per_s: Amount = 0
    engine: WireEngine | None = None
    origin: str = ''
    zone: str = ''
    link_mbps: Amount = 0


class WireTenant(msgspec.Struct, kw_only=True):
    """One client account with its keys."""

    name: str
    api_keys: list[str] = []
    priority: WholeNumber | None = None
    allowed_regions: list[str] = []

    def __post_init__(self) -> None:
        """Refuse a name that no header can carry."""
        if not self.name.isprintable():
            raise ValueError(f'no name of a client account: {self.name!r}')


class WireLimits(msgspec.Struct, kw_only=True):
    """Limits on what callers send; zero for none.

    :param max_header_bytes: size of the request line and all header lines.
    :param header_timeout_ms: time from the first byte of a head to its end.
    :param idle_timeout_ms: time that a connection may be open without a
        request.
    """

    max_header_bytes: WholeNumber = 0
    max_body_bytes: WholeNumber = 0
    header_timeout_ms: Milliseconds = 0
    idle_timeout_ms: Milliseconds = 0


class WireState(msgspec.Struct, kw_only=True):
    """One version of the desired state.

    :param tenants: None if requests need no key.
    :param limits: read as ``WireLimits`` for themselves; null for none.
    """

    version: WholeNumber
    routes: list[WireRoute] = []
    services: list[WireService] = []
    tenants: list[WireTenant] | None = None
    limits: Any = None
