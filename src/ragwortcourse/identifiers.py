"""Distinct types for identifiers and names."""

from typing import NewType

# Made by ``parse_address`` from what another process named.
Address = NewType('Address', str)
AdapterName = NewType('AdapterName', str)
AskId = NewType('AskId', str)
AttemptId = NewType('AttemptId', str)
ChangeId = NewType('ChangeId', str)
ClientAccountName = NewType('ClientAccountName', str)
DaemonId = NewType('DaemonId', str)
DeploymentName = NewType('DeploymentName', str)
FailureDomainName = NewType('FailureDomainName', str)
FencingNumber = NewType('FencingNumber', int)
Fingerprint = NewType('Fingerprint', str)
Generation = NewType('Generation', int)
HostName = NewType('HostName', str)
IdempotencyKey = NewType('IdempotencyKey', str)
ModelName = NewType('ModelName', str)
PromptPartId = NewType('PromptPartId', str)
RegionName = NewType('RegionName', str)
RequestId = NewType('RequestId', str)
ServiceName = NewType('ServiceName', str)
Sha256Hex = NewType('Sha256Hex', str)
TargetName = NewType('TargetName', str)
VersionName = NewType('VersionName', str)
