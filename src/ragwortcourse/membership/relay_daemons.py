"""Records of entry daemons that relay chunks to loaders."""

import msgspec

from ragwortcourse.addresses import parse_address
from ragwortcourse.identifiers import (
    Address,
    DaemonId,
    FailureDomainName,
    RegionName,
)
from ragwortcourse.settings import Settings


class RelayRecord(msgspec.Struct, frozen=True, kw_only=True):
    """Address and location of an entry daemon, for other daemons.

    :param address: address of the port for other daemons.
    """

    daemon: DaemonId
    address: Address
    failure_domain: FailureDomainName
    region: RegionName


def describe_daemon(settings: Settings) -> RelayRecord:
    """Build the record of the daemon with these settings."""
    return RelayRecord(
        daemon=settings.daemon,
        address=parse_address(settings.listen.peers),
        failure_domain=settings.failure_domain,
        region=settings.region,
    )
