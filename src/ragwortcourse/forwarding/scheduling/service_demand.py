"""Demand of one daemon's callers on a service, as daemons report it."""

import msgspec

from ragwortcourse.bounded import Amount, Count


class ServiceDemand(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Demand on a service by urgency, the most urgent first.

    :param rates: requests a second that arrive in time.
    :param waiting: requests that wait at the daemon, late ones last.
    """

    rates: list[Amount]
    waiting: list[Count]
