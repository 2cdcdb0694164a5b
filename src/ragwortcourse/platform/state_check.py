"""Check of a desired state before operators write it to the store."""

import itertools
import json
from collections.abc import Mapping
from typing import Any

import msgspec

from ragwortcourse.configuration.finding import Finding
from ragwortcourse.identifiers import FailureDomainName, RegionName
from ragwortcourse.platform.desired_states import decode_desired_state
from ragwortcourse.platform.field_faults import find_field_faults
from ragwortcourse.platform.region_check import check_accounts, check_regions
from ragwortcourse.platform.route_check import check_routes
from ragwortcourse.platform.service_check import (
    LIMITS,
    CheckedLimits,
    check_client_limits,
    check_services,
)
from ragwortcourse.platform.wire_state import WireState
from ragwortcourse.unreadable import UnreadableError


def parse_state(content: bytes) -> dict[str, Any]:
    """Parse a desired state without checking it.

    :raises UnreadableError: the content is no JSON object.
    """
    try:
        raw = json.loads(content)
    except (ValueError, RecursionError) as error:
        raise UnreadableError(str(error)) from error
    if not isinstance(raw, dict):
        raise UnreadableError('no JSON object')
    return raw


def check_state(
    raw: dict[str, Any],
    domains: Mapping[FailureDomainName, RegionName] | None = None,
) -> tuple[Finding, ...]:
    """Return every finding in a parsed desired state.

    Faults of single fields hide all others, as a state is taken whole.

    :param domains: region of each failure domain; none if not known.
    """
    faults = (
        *find_field_faults(raw, WireState),
        *find_field_faults(raw.get(LIMITS, {}), CheckedLimits, LIMITS),
    )
    if faults:
        return faults
    try:
        state = msgspec.convert(raw, WireState)
    except msgspec.ValidationError as error:
        # A rule about a whole entry, such as the name of an account.
        return (_refuse(str(error)),)
    findings = tuple(
        itertools.chain(
            check_routes(state),
            check_services(state.services, domains),
            check_accounts(state),
            check_regions(state, domains and frozenset(domains.values())),
            check_client_limits(
                msgspec.convert(raw.get(LIMITS, {}), CheckedLimits)
            ),
        )
    )
    return findings or _check_decoder(raw)


def _check_decoder(raw: dict[str, Any]) -> tuple[Finding, ...]:
    """Return what the decoder of the daemons refuses beside all checks."""
    try:
        decode_desired_state(json.dumps(raw).encode())
    except UnreadableError as error:
        return (_refuse(str(error)),)
    return ()


def _refuse(message: str) -> Finding:
    return Finding(
        place='(file)',
        value='',
        allowed='a state that daemons can decode',
        message=message,
    )
