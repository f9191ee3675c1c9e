"""Identifiers that the processes exchange.

For the type checker every identifier is a distinct type. At run time it is a
plain string or integer, so that messages need no extra encoding.
"""

from typing import NewType

WorkspaceId = NewType('WorkspaceId', str)
ServiceId = NewType('ServiceId', str)
EndpointId = NewType('EndpointId', str)
EntryId = NewType('EntryId', str)
PeerId = NewType('PeerId', str)
ZoneId = NewType('ZoneId', str)
RegionId = NewType('RegionId', str)
ModelId = NewType('ModelId', str)
RequestId = NewType('RequestId', str)
IdempotencyKey = NewType('IdempotencyKey', str)
GroupId = NewType('GroupId', str)
KeyId = NewType('KeyId', str)

#: Number of an attempt to run one request, from 1.
Attempt = NewType('Attempt', int)
#: Position of a frame within one attempt, from 0.
Sequence = NewType('Sequence', int)
#: Number of a published settings tree; higher is newer.
SettingsVersion = NewType('SettingsVersion', int)
#: Start time of a process in nanoseconds since 1970; a restart increases it.
Incarnation = NewType('Incarnation', int)
#: Number by which an engine rejects an order that is older than the last.
FencingNumber = NewType('FencingNumber', int)
#: Hash of one block of a prompt and of all blocks before it.
BlockHash = NewType('BlockHash', int)
#: Digest of path, workspace and body; equal for identical requests.
ContentDigest = NewType('ContentDigest', bytes)
#: Digest of a part of a prompt; equal in all requests that contain the part.
PartDigest = NewType('PartDigest', bytes)
#: Digest of something that requests may have in common.
TraitDigest = ContentDigest | PartDigest
