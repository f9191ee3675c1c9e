"""Types of the values in settings, with their constraints.

The constraints are checked wherever settings are read. An error message quotes
`description` as the accepted value.
"""

from typing import Annotated

from msgspec import Meta

from ..ids import (
    EndpointId,
    KeyId,
    ModelId,
    RegionId,
    ServiceId,
    WorkspaceId,
    ZoneId,
)

#: Marks a type whose values are never shown: an operator may have put a key in
#: place of its hash or location.
SECRET_MARK = 'secret'
#: One year; a longer time means that the unit was mistaken.
_MAX_SECONDS = 31_536_000
#: Far above any engine memory or context length; a larger value means that the
#: unit was mistaken.
_MAX_TOKENS = 1_000_000_000
_MAX_BODY_BYTES = 33_554_432
_MAX_WEIGHT = 1_000_000
_MAX_PENALTY = 1_000_000_000
_MAX_NAME_LENGTH = 64
_MAX_MODEL_NAME_LENGTH = 256
#: 2**53 - 1, the largest integer that every JSON reader represents exactly.
_MAX_VERSION = 9_007_199_254_740_991
_MAX_PORT = 65_535

#: Description of a valid name, for error messages and the reference page.
NAME_DESCRIPTION = (
    'a name of letters, digits, ".", "_" and "-", at most 64 long, that '
    'starts with a letter or digit'
)
_NAME_META = Meta(
    pattern='^[A-Za-z0-9][A-Za-z0-9._-]*$',
    max_length=_MAX_NAME_LENGTH,
    description=NAME_DESCRIPTION,
)
_PORT = '([1-9][0-9]{0,4})'
_IP = r'([0-9]{1,3}(\.[0-9]{1,3}){3}|\[[0-9a-fA-F:]+\])'

WorkspaceName = Annotated[WorkspaceId, _NAME_META]
ServiceName = Annotated[ServiceId, _NAME_META]
EndpointName = Annotated[EndpointId, _NAME_META]
ZoneName = Annotated[ZoneId, _NAME_META]
RegionName = Annotated[RegionId, _NAME_META]
KeyName = Annotated[KeyId, _NAME_META]
ProcessName = Annotated[str, _NAME_META]
ModelName = Annotated[
    ModelId, Meta(max_length=_MAX_MODEL_NAME_LENGTH, description='a model name')
]

Seconds = Annotated[
    float,
    Meta(gt=0, le=_MAX_SECONDS, description='seconds, above 0'),
]
SecondsOrNone = Annotated[
    float,
    Meta(ge=0, le=_MAX_SECONDS, description='seconds, or 0 for none'),
]
Tokens = Annotated[
    int,
    Meta(ge=1, le=_MAX_TOKENS, description='a whole number of tokens above 0'),
]
TokensOrNone = Annotated[
    int,
    Meta(
        ge=0,
        le=_MAX_TOKENS,
        description='a whole number of tokens, or 0 for none',
    ),
]
BodyBytes = Annotated[
    int,
    Meta(
        ge=1,
        le=_MAX_BODY_BYTES,
        description='a whole number of bytes, at most 33554432',
    ),
]
Weight = Annotated[
    float,
    Meta(
        gt=0,
        le=_MAX_WEIGHT,
        description='a number above 0, at most 1000000',
    ),
]
Share = Annotated[
    float,
    Meta(ge=0, le=1, description='a number from 0 to 1'),
]
TargetShare = Annotated[
    float,
    Meta(gt=0, le=1, description='a number above 0, at most 1'),
]
Penalty = Annotated[
    float,
    Meta(ge=0, le=_MAX_PENALTY, description='an amount, 0 or more'),
]
Version = Annotated[
    int,
    Meta(ge=1, le=_MAX_VERSION, description='a whole number from 1 on'),
]
KeyHash = Annotated[
    str,
    Meta(
        pattern='^[0-9a-f]{64}$',
        description='the SHA-256 of a key, as 64 hexadecimal digits 0-9a-f',
        extra={SECRET_MARK: True},
    ),
]
SecretLocation = Annotated[
    str,
    Meta(
        pattern=r'^(env:[A-Za-z_][A-Za-z0-9_]*|\.{0,2}/.+|[^:]+)$',
        description='the path of a file, or env:NAME for a variable',
        extra={SECRET_MARK: True},
    ),
]
PeerAddress = Annotated[
    str,
    Meta(
        pattern=f'^tcp://{_IP}:{_PORT}$',
        description='tcp://IP:PORT, with an IP number',
    ),
]
HttpAddress = Annotated[
    str,
    Meta(
        pattern=r'^https?://[^/\s]+(/\S*)?$',
        description='http://IP:PORT',
    ),
]
HttpAddressOrNone = Annotated[
    str,
    Meta(
        pattern=r'^(https?://[^/\s]+(/\S*)?)?$',
        description='http://IP:PORT, or "" for none',
    ),
]
PeerAddressOrNone = Annotated[
    str,
    Meta(
        pattern=f'^(tcp://{_IP}:{_PORT})?$',
        description='tcp://IP:PORT, or "" for the one listened on',
    ),
]
Port = Annotated[
    int,
    Meta(ge=1, le=_MAX_PORT, description='a port from 1 to 65535'),
]
PortOrNone = Annotated[
    int,
    Meta(ge=0, le=_MAX_PORT, description='a port, or 0 for none'),
]
