"""Identifiers that the processes exchange.

Every identifier is a distinct type for the type checker and a plain string or
integer at run time, so that it costs nothing on the wire.
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
#: Start of a process in nanoseconds since 1970; a restart has a higher one.
Incarnation = NewType('Incarnation', int)
#: Number that an engine compares to refuse an order older than the last.
FencingNumber = NewType('FencingNumber', int)
#: Hash that stands for one block of a prompt and all the blocks before it.
BlockHash = NewType('BlockHash', int)
#: Digest of what makes two requests the same: path, workspace and body.
ContentDigest = NewType('ContentDigest', bytes)
