"""Test values of a fleet: settings, routes, targets and store rows."""

import dataclasses
import random

import aiohttp
import msgspec
from multidict import CIMultiDict

from ragwortcourse.forwarding.account import Account
from ragwortcourse.forwarding.call import Call, PermittedCall
from ragwortcourse.forwarding.call_kind import CallKind
from ragwortcourse.forwarding.desired_state import DesiredState
from ragwortcourse.forwarding.engine_profile import EngineProfile
from ragwortcourse.forwarding.fleet_state import FleetState, read_boot_clock
from ragwortcourse.forwarding.forwarder import Forwarder
from ragwortcourse.forwarding.route import Route, ServiceShare
from ragwortcourse.forwarding.service_rules import ServiceRules
from ragwortcourse.forwarding.target import HeldWeights, Target
from ragwortcourse.identifiers import (
    AttemptId,
    ClientAccountName,
    DaemonId,
    FailureDomainName,
    HostName,
    ModelName,
    RegionName,
    ServiceName,
    TargetName,
)
from ragwortcourse.platform.store_row import StoreRow
from ragwortcourse.platform.wire import build_wire_format
from ragwortcourse.settings import (
    FleetSettings,
    ListenSettings,
    Role,
    Settings,
)

ENGINES = ServiceName('engines')
PLAIN = ServiceName('plain')
MODEL = ModelName('drafts')
NEAR_DOMAIN = FailureDomainName('near-a')
SAME_REGION = FailureDomainName('near-b')
FAR_DOMAIN = FailureDomainName('far-a')
REGIONS = {
    NEAR_DOMAIN: RegionName('near'),
    SAME_REGION: RegionName('near'),
    FAR_DOMAIN: RegionName('far'),
}
KEY = 'a-key'
FLEET = FleetSettings(
    store='127.0.0.1:1',
    failure_domains=REGIONS,
    grace_seconds=8,
    strict_revocation=True,
    revoke_ms=5000,
    version_ms=8000,
    contact_ms=3000,
    retry_ratio=0.2,
    retry_window_seconds=10,
    retry_reserve=106,
    apply_ms=2000,
)
# Bounds of ``FLEET`` in the TOML form of a settings file.
BOUNDS_TEXT = """grace_seconds = 8
strict_revocation = true
revoke_ms = 5000
contact_ms = 3000
version_ms = 8000
retry_ratio = 0.2
retry_window_seconds = 10
retry_reserve = 106
apply_ms = 2000
"""
# Settings of a forwarder in the TOML form of a settings file.
FORWARDER_TEXT = f"""
role = "forwarder"
daemon = "entry-1"
host = "entry-1"
failure_domain = "near-a"
region = "near"
[listen]
peers = "{{peers}}"
watch = "{{watch}}"
callers = "{{callers}}"
[fleet]
store = "{{store}}"
{BOUNDS_TEXT}[fleet.failure_domains]
near-a = "near"
"""
ENGINE_RULES = EngineProfile(
    model=MODEL,
    slots=16,
    step=0.00887,
    step_per_request=0.0000388,
    prefill_rate=19_100,
    steps_per_pass=5,
    mean_prompt_tokens=977,
    mean_answer_tokens=94,
    layers=16,
    chunks=4,
    chunk_bytes=1000,
)
ACCOUNT = Account(name=ClientAccountName('parents'))


def make_settings(**changes: object) -> Settings:
    """Build settings of a forwarder, with some fields replaced."""
    usual: dict[str, object] = {
        'role': Role.FORWARDER,
        'daemon': DaemonId('entry-1'),
        'host': HostName('entry-1'),
        'failure_domain': NEAR_DOMAIN,
        'region': REGIONS[NEAR_DOMAIN],
        'listen': ListenSettings(
            peers='127.0.0.1:7000',
            watch='127.0.0.1:7001',
            callers='127.0.0.1:7002',
        ),
        'fleet': FLEET,
    }
    return Settings(**{**usual, **changes})  # type: ignore[arg-type]


def make_route(**changes: object) -> Route:
    """Build a streaming route to the engines, with some fields replaced."""
    usual: dict[str, object] = {
        'name': 'letters',
        'host': 'desk.example',
        'prefix': '/letters/',
        'kind': CallKind.STREAMING,
        'services': (ServiceShare(service=ENGINES, weight=1),),
        'time_limit': 6.0,
        'objective': 0.5,
        'longest_gap': 0.4,
        'max_tries': 2,
        'resumable': True,
    }
    return Route(**{**usual, **changes})  # type: ignore[arg-type]


PLAIN_SHARE = (ServiceShare(service=PLAIN, weight=1),)
LOOKUP = make_route(
    name='lookups',
    prefix='/lookups/',
    kind=CallKind.IDEMPOTENT,
    services=PLAIN_SHARE,
    time_limit=0.8,
    resumable=False,
)
CHARGE = make_route(
    name='charges',
    prefix='/charges/',
    kind=CallKind.NON_IDEMPOTENT,
    services=PLAIN_SHARE,
    max_tries=1,
    time_limit=0.8,
    resumable=False,
)
OPEN = dataclasses.replace(LOOKUP, name='open', prefix='/open/', public=True)


def make_desired(*routes: Route, version: int = 1) -> DesiredState:
    """Build a desired state with both services and one API key."""
    known = routes or (make_route(), LOOKUP, CHARGE, OPEN)
    by_host: dict[str, tuple[Route, ...]] = {}
    for route in sorted(known, key=lambda each: -len(each.prefix)):
        by_host[route.host] = (*by_host.get(route.host, ()), route)
    return DesiredState(
        version=version,
        routes=by_host,
        services={
            ENGINES: ServiceRules(
                name=ENGINES, cold_rate=36, engine=ENGINE_RULES
            ),
            PLAIN: ServiceRules(name=PLAIN),
        },
        accounts={KEY: ACCOUNT},
    )


def make_target(name: str = 't-1', **changes: object) -> Target:
    """Build an engine target that holds all layers of version 1."""
    usual: dict[str, object] = {
        'name': TargetName(name),
        'born': 1,
        'service': ENGINES,
        'address': '127.0.0.1:1',
        'failure_domain': NEAR_DOMAIN,
        'region': REGIONS[NEAR_DOMAIN],
        'slots': 16,
        'weights': HeldWeights(version=1, first=0, end=16),
    }
    target = Target(**{**usual, **changes})  # type: ignore[arg-type]
    return dataclasses.replace(target, region=REGIONS[target.failure_domain])


def make_plain(name: str = 'p-1', **changes: object) -> Target:
    """Build a target of the plain service, which has no weights."""
    return make_target(
        name, **{'service': PLAIN, 'weights': None, 'slots': 6, **changes}
    )


def make_state(*targets: Target) -> FleetState:
    """Build a fleet state that the store has just confirmed."""
    return FleetState(
        desired=make_desired(),
        confirmed_at=read_boot_clock(),
        targets={target.name: target for target in targets},
        targets_known=True,
    )


def make_forwarder(
    state: FleetState, session: aiohttp.ClientSession, **changes: object
) -> Forwarder:
    """Build a forwarder whose random choices are seeded."""
    return Forwarder(
        settings=make_settings(**changes),
        state=state,
        wire=build_wire_format(),
        session=session,
        rng=random.Random(1),
    )


def make_call(**changes: object) -> Call:
    """Build a call to the streaming route that has just arrived."""
    usual: dict[str, object] = {
        'attempt': AttemptId('a1'),
        'method': 'POST',
        'host': 'desk.example',
        'path': '/letters/1',
        'path_and_query': '/letters/1',
        'time_left': 6.0,
        'key': KEY,
        'prompt_tokens': 977,
        'answer_tokens': 94,
        'shared_parts': (),
        'last_event': None,
        'headers': CIMultiDict(),
        'arrived_at': 0.0,
    }
    return Call(**{**usual, **changes})  # type: ignore[arg-type]


def make_permitted_call(
    route: Route | None = None, **changes: object
) -> PermittedCall:
    """Build a permitted call, by default on the route to the engines."""
    call = make_call(**changes)
    known = route or make_route()
    return PermittedCall(
        call=call,
        route=known,
        account=ACCOUNT,
        body=b'',
        deadline=call.arrived_at + known.time_limit,
    )


def make_version_row(version: int) -> StoreRow:
    """Build the store row by which operators set the model version."""
    content = msgspec.json.encode({'model': MODEL, 'version': version})
    return StoreRow(key=f'version/{MODEL}', content=content)
