"""Kinds of values in settings, with what is accepted for each.

The constraints hold wherever settings are read; `description` is what an
error says would be accepted.
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

#: Mark of values that are never shown, in case an operator has put a key
#: where its hash belongs.
SECRET = 'secret'
#: A year; longer times are mistakes of unit.
_LONGEST_SECONDS = 31_536_000
#: Far above any memory or context; larger figures are mistakes of unit.
_MOST_TOKENS = 1_000_000_000
_LARGEST_BODY = 33_554_432
_LARGEST_WEIGHT = 1_000_000
_LARGEST_PENALTY = 1_000_000_000
_LONGEST_NAME = 64
_LONGEST_MODEL_NAME = 256
#: Largest whole number that every JSON reader keeps exactly.
_HIGHEST_VERSION = 9_007_199_254_740_991
_LARGEST_PORT = 65_535

#: What a name may be, in words.
NAME_TEXT = (
    'a name of letters, digits, ".", "_" and "-", at most 64 long, that '
    'starts with a letter or digit'
)
_NAME_META = Meta(
    pattern='^[A-Za-z0-9][A-Za-z0-9._-]*$',
    max_length=_LONGEST_NAME,
    description=NAME_TEXT,
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
    ModelId, Meta(max_length=_LONGEST_MODEL_NAME, description='a model name')
]

Seconds = Annotated[
    float,
    Meta(gt=0, le=_LONGEST_SECONDS, description='seconds, above 0'),
]
SecondsOrNone = Annotated[
    float,
    Meta(ge=0, le=_LONGEST_SECONDS, description='seconds, or 0 for none'),
]
Tokens = Annotated[
    int,
    Meta(ge=1, le=_MOST_TOKENS, description='a whole number of tokens above 0'),
]
TokensOrNone = Annotated[
    int,
    Meta(
        ge=0,
        le=_MOST_TOKENS,
        description='a whole number of tokens, or 0 for none',
    ),
]
BodyBytes = Annotated[
    int,
    Meta(
        ge=1,
        le=_LARGEST_BODY,
        description='a whole number of bytes, at most 33554432',
    ),
]
Weight = Annotated[
    float,
    Meta(
        gt=0,
        le=_LARGEST_WEIGHT,
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
    Meta(ge=0, le=_LARGEST_PENALTY, description='an amount, 0 or more'),
]
Version = Annotated[
    int,
    Meta(ge=1, le=_HIGHEST_VERSION, description='a whole number from 1 on'),
]
KeyHash = Annotated[
    str,
    Meta(
        pattern='^[0-9a-f]{64}$',
        description='the SHA-256 of a key, as 64 hexadecimal digits 0-9a-f',
        extra={SECRET: True},
    ),
]
SecretPlace = Annotated[
    str,
    Meta(
        pattern=r'^(env:[A-Za-z_][A-Za-z0-9_]*|\.{0,2}/.+|[^:]+)$',
        description='the path of a file, or env:NAME for a variable',
        extra={SECRET: True},
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
    Meta(ge=1, le=_LARGEST_PORT, description='a port from 1 to 65535'),
]
PortOrNone = Annotated[
    int,
    Meta(ge=0, le=_LARGEST_PORT, description='a port, or 0 for none'),
]
