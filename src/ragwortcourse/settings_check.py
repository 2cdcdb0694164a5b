"""Checks of the values in settings, beyond their types."""

import itertools
import math
import re
from collections.abc import Callable, Iterator
from typing import Final
from urllib.parse import urlsplit

from ragwortcourse.addresses import is_address
from ragwortcourse.configuration.finding import Finding
from ragwortcourse.settings import AgentSettings, Role, Settings
from ragwortcourse.structure import show_value

MIN_CHUNK_BYTES: Final = 65_536
MAX_CHUNK_BYTES: Final = 1_073_741_824
NAME_PATTERN: Final = re.compile(r'[A-Za-z0-9][A-Za-z0-9._-]{0,62}')
DIGEST_PATTERN: Final = re.compile('[0-9a-f]{64}')
FLEET_BOUNDS: Final = (
    'grace_seconds',
    'revoke_ms',
    'version_ms',
    'contact_ms',
    'retry_ratio',
    'retry_window_seconds',
    'retry_reserve',
    'apply_ms',
)
LOG_LEVELS: Final = ('DEBUG', 'INFO', 'WARNING', 'ERROR')
ADDRESS_WORDS: Final = 'ip:port with a port from 1 to 65535'
URL_WORDS: Final = 'an http or https URL, or empty'
NAME_WORDS: Final = (
    'letters, digits, dot, dash, underscore; 1 to 63; a letter or digit first'
)


def check_settings(settings: Settings) -> tuple[Finding, ...]:
    """Return all findings in settings whose structure is valid."""
    checks = (
        _check_names,
        _check_addresses,
        _check_urls,
        _check_role,
        _check_digests,
        _check_ranges,
        _check_bounds,
    )
    return tuple(
        itertools.chain.from_iterable(check(settings) for check in checks)
    )


def is_url(text: str) -> bool:
    """Tell whether a text is the URL of an HTTP service."""
    try:
        parts = urlsplit(text)
        port = parts.port
    except ValueError:
        return False
    named = parts.scheme in {'http', 'https'} and bool(parts.hostname)
    return named and port != 0


def _check_each(
    values: dict[str, str],
    accept: Callable[[str], object],
    allowed: str,
    message: str,
) -> Iterator[Finding]:
    for place, value in values.items():
        if not accept(value):
            yield Finding(
                place=place,
                value=show_value(value),
                allowed=allowed,
                message=message,
            )


def _check_names(settings: Settings) -> Iterator[Finding]:
    names: dict[str, str] = {
        'daemon': settings.daemon,
        'host': settings.host,
        'failure_domain': settings.failure_domain,
        'region': settings.region,
    }
    if settings.platform.origin_region:
        names['platform.origin_region'] = settings.platform.origin_region
    if settings.agent is not None:
        names['agent.target'] = settings.agent.target
        names['agent.deployment'] = settings.agent.deployment
    return _check_each(
        names, NAME_PATTERN.fullmatch, NAME_WORDS, 'malformed name'
    )


def _check_addresses(settings: Settings) -> Iterator[Finding]:
    addresses = {
        'listen.peers': settings.listen.peers,
        'listen.watch': settings.listen.watch,
    }
    if settings.role in {Role.ENTRY, Role.FORWARDER}:
        addresses['listen.callers'] = settings.listen.callers
    if settings.role is Role.ENTRY:
        addresses['listen.operators'] = settings.listen.operators
    if settings.fleet is not None:
        addresses['fleet.store'] = settings.fleet.store
    if settings.loader is not None:
        addresses['loader.engine'] = settings.loader.engine
    for index, record in enumerate(settings.known):
        addresses[f'known[{index}].address'] = record.address
    return _check_each(
        addresses, is_address, ADDRESS_WORDS, 'malformed address'
    )


def _check_urls(settings: Settings) -> Iterator[Finding]:
    optional = {
        'platform.table': settings.platform.table,
        'platform.objects': settings.platform.objects,
        'platform.hosts': settings.platform.hosts,
        'platform.origin': settings.platform.origin,
        'telemetry.otlp': settings.telemetry.otlp,
    }
    given = {place: url for place, url in optional.items() if url}
    yield from _check_each(given, is_url, URL_WORDS, 'malformed URL')
    if settings.agent is not None:
        yield from _check_each(
            {'agent.target_url': settings.agent.target_url},
            is_url,
            'an http or https URL',
            'malformed URL',
        )


def _check_role(settings: Settings) -> Iterator[Finding]:
    sections = {
        'entry': (settings.entry, {Role.ENTRY}),
        'agent': (settings.agent, {Role.AGENT}),
        'loader': (settings.loader, {Role.LOADER}),
        'fleet': (settings.fleet, {Role.FORWARDER, Role.LOADER}),
    }
    for name, (section, roles) in sections.items():
        present = section is not None
        if present is (settings.role in roles):
            continue
        yield Finding(
            place=name,
            value='(section)' if present else '',
            allowed=f'the sections that belong to role {settings.role}',
            message='not for this role' if present else 'missing section',
        )


def _check_digests(settings: Settings) -> Iterator[Finding]:
    if settings.entry is None:
        return iter(())
    digests: dict[str, str] = {
        f'entry.operator_key_sha256[{index}]': digest
        for index, digest in enumerate(settings.entry.operator_key_sha256)
    }
    return _check_each(
        digests,
        DIGEST_PATTERN.fullmatch,
        'a SHA-256 digest: 64 digits 0-9 a-f',
        'malformed digest',
    )


def _check_ranges(settings: Settings) -> Iterator[Finding]:
    yield from _check_each(
        {'telemetry.log_level': settings.telemetry.log_level},
        LOG_LEVELS.__contains__,
        f'one of {", ".join(LOG_LEVELS)}',
        'unknown level',
    )
    if settings.agent is not None:
        yield from _check_agent_ranges(settings.agent)


def _check_bounds(settings: Settings) -> Iterator[Finding]:
    fleet, loader = settings.fleet, settings.loader
    if fleet is not None:
        for name in FLEET_BOUNDS:
            bound: float = getattr(fleet, name)
            if not 0 <= bound < math.inf:
                yield _build_range_finding(
                    f'fleet.{name}', bound, 'a number from 0'
                )
    if loader is not None and not 0 < loader.link_mbps < math.inf:
        yield _build_range_finding(
            'loader.link_mbps', loader.link_mbps, 'a number above 0'
        )
    memory, descriptors = settings.limits.memory_mb, settings.limits.descriptors
    if not 0 <= memory < math.inf:
        yield _build_range_finding(
            'limits.memory_mb', memory, 'a number from 0'
        )
    if descriptors < 0:
        yield _build_range_finding(
            'limits.descriptors', descriptors, 'a number from 0'
        )


def _build_range_finding(place: str, number: float, allowed: str) -> Finding:
    return Finding(
        place=place,
        value=show_value(number),
        allowed=allowed,
        message='out of range',
    )


def _check_agent_ranges(agent: AgentSettings) -> Iterator[Finding]:
    if not MIN_CHUNK_BYTES <= agent.chunk_memory <= MAX_CHUNK_BYTES:
        yield _build_range_finding(
            'agent.chunk_memory',
            agent.chunk_memory,
            f'{MIN_CHUNK_BYTES} to {MAX_CHUNK_BYTES} bytes',
        )
    if agent.link_rate < 0:
        yield _build_range_finding(
            'agent.link_rate', agent.link_rate, '0 or more bytes a second'
        )
