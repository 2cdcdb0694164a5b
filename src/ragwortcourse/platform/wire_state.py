"""Format in which the platform writes the operators' desired state."""

import msgspec

from ragwortcourse.forwarding.call_kind import CallKind


class WireShare(msgspec.Struct, kw_only=True):
    """Share of one service in a split route."""

    service: str
    weight: float


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
    timeout_ms: float
    slo_ms: float = 0
    priority: int = 0
    service: str = ''
    split: list[WireShare] = []
    max_attempts: int = 1
    public: bool = False
    resumable: bool = False
    gap_target_ms: float = 0
    allowed_regions: list[str] = []


class WireModel(msgspec.Struct, kw_only=True):
    """One model of an engine."""

    name: str


class WireUsual(msgspec.Struct, kw_only=True):
    """Mean token counts."""

    prompt: float = 0
    answer: float = 0


class WireEngine(msgspec.Struct, kw_only=True):
    """Speeds of the engines of a service.

    :param per_seq_ms: added to a step by each request that is generating.
    :param stride: steps of a pass that includes generating requests.
    """

    slots: int
    step_ms: float = 0
    per_seq_ms: float = 0
    read_per_s: float = 0
    stride: int = 1
    usual: WireUsual = msgspec.field(default_factory=WireUsual)
    models: list[WireModel] = []
    layers: int = 0
    chunks: int = 0
    chunk_bytes: int = 0


class WireService(msgspec.Struct, kw_only=True):
    """One service, or an origin of weights.

    :param max_conns: limit on the connections of all callers together.
    :param origin: address of an origin; empty for a service.
    :param zone: failure domain of an origin; empty for a service.
    """

    name: str
    max_conns: int = 0
    cold_per_s: float = 0
    engine: WireEngine | None = None
    origin: str = ''
    zone: str = ''


class WireTenant(msgspec.Struct, kw_only=True):
    """One client account with its keys."""

    name: str
    api_keys: list[str] = []
    priority: int | None = None
    allowed_regions: list[str] = []


class WireState(msgspec.Struct, kw_only=True):
    """One version of the desired state.

    :param tenants: None if requests need no key.
    """

    version: int
    routes: list[WireRoute] = []
    services: list[WireService] = []
    tenants: list[WireTenant] | None = None
