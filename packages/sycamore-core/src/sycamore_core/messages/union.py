"""Union of all messages, with their encoding and decoding."""

import msgspec

from ..error_translation import translating_errors
from ..errors import CodecError
from .entries import (
    CellSummary,
    CompressedMessage,
    LoadUpdate,
    TrialAnswer,
    TrialWanted,
)
from .frames import Ack, Frame
from .groups import (
    GroupAnswer,
    GroupRelease,
    GroupRenew,
    GroupReserve,
    SpanDone,
    SpanRun,
)
from .heartbeats import Heartbeat, LoadReport, SettingsBody, SettingsWanted
from .requests import (
    Accepted,
    Attach,
    Cancel,
    Declined,
    Offer,
    Reserve,
    Reserved,
    RunReport,
    Withdraw,
)

RequestMessage = (
    Accepted | Attach | Cancel | Declined | Offer | RunReport | Withdraw
)
AnswerMessage = Ack | Frame | Reserve | Reserved
EntryMessage = (
    CellSummary | CompressedMessage | LoadUpdate | TrialAnswer | TrialWanted
)
PeerMessage = (
    EntryMessage | Heartbeat | LoadReport | SettingsBody | SettingsWanted
)
GroupMessage = (
    GroupAnswer | GroupRelease | GroupRenew | GroupReserve | SpanDone | SpanRun
)
Message = RequestMessage | AnswerMessage | PeerMessage | GroupMessage

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Message)


def encode_message(message: Message) -> bytes:
    """Return the MessagePack form of one message.

    Raises
    ------
    CodecError
        If MessagePack has no form for a value, such as a large integer.
    """
    with translating_errors('message', CodecError):
        return _encoder.encode(message)


def decode_message(encoded: bytes | memoryview | msgspec.Raw) -> Message:
    """Decode one message.

    Raises
    ------
    CodecError
        If the bytes are not a message known to this version.

    Examples
    --------
    >>> decode_message(encode_message(SettingsWanted(above=3)))
    SettingsWanted(above=3)
    """
    with translating_errors('message', CodecError):
        return _decoder.decode(encoded)
