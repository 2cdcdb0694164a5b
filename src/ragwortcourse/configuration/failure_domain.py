"""Failure domains and their regions."""

import msgspec

from ragwortcourse.identifiers import FailureDomainName, RegionName


class FailureDomain(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Group of hosts that fail, are withdrawn and return together."""

    name: FailureDomainName
    region: RegionName
