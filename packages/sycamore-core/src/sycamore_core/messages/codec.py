"""Codec for packets, which carry several messages under one signature.

On the wire a packet consists of the signature, the length of the key id, the
key id and the MessagePack form of `Packet`. The messages of a packet are
decoded one by one: a message that only a newer version knows is counted and
skipped, and the rest of the packet is used.
"""

import math
from collections.abc import Callable, Iterator, Sequence

import msgspec

from ..error_translation import translating_errors
from ..errors import AuthenticationError, CodecError
from ..ids import Incarnation, KeyId, PeerId
from .keys import SIGNATURE_BYTES, PeerKeys
from .union import Message, decode_message, encode_message

PROTOCOL_VERSION = 1
_HEADER_BYTES = SIGNATURE_BYTES + 1

Unencodable = Callable[[Message, CodecError], None]


class Packet(msgspec.Struct, frozen=True, array_like=True):
    """Messages that one process sends to another together.

    Attributes
    ----------
    sent_at
        Time on the sender's monotonic clock, in seconds. Only differences
        between packets of one incarnation are meaningful.
    reply_to
        Address at which the sender listens.
    """

    version: int
    sender: PeerId
    incarnation: Incarnation
    reply_to: str
    sent_at: float
    messages: tuple[msgspec.Raw, ...]


class VerifiedPacket(msgspec.Struct, frozen=True):
    """A received packet whose signature has been verified.

    Attributes
    ----------
    unknown
        Number of messages skipped because they could not be decoded.
    """

    sender: PeerId
    incarnation: Incarnation
    reply_to: str
    sent_at: float
    messages: tuple[Message, ...]
    unknown: int = 0


class PacketCodec:
    """Encodes and decodes signed packets.

    Parameters
    ----------
    keys
        Keys for signing and verification.
    sender, incarnation, reply_to
        Identity and address of this process, included in each packet.

    Attributes
    ----------
    on_unencodable
        Called for each message that cannot be encoded.
    """

    def __init__(
        self,
        keys: PeerKeys,
        sender: PeerId,
        incarnation: Incarnation,
        reply_to: str,
    ) -> None:
        self.keys = keys
        self.sender = sender
        self.incarnation = incarnation
        self.reply_to = reply_to
        self.on_unencodable: Unencodable = _ignore
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder = msgspec.msgpack.Decoder(Packet)

    def encode(self, messages: Sequence[Message], sent_at: float) -> bytes:
        """Return the signed bytes of one packet.

        Messages that cannot be encoded are left out.
        """
        packet = Packet(
            version=PROTOCOL_VERSION,
            sender=self.sender,
            incarnation=self.incarnation,
            reply_to=self.reply_to,
            sent_at=sent_at,
            messages=tuple(map(msgspec.Raw, self._encode_each(messages))),
        )
        body = self._encoder.encode(packet)
        key_id = self.keys.signing.encode()
        header = self.keys.sign(body) + bytes((len(key_id),))
        return b''.join((header, key_id, body))

    def decode(self, received: bytes) -> VerifiedPacket:
        """Verify and decode one packet.

        Raises
        ------
        AuthenticationError
            If the packet is not signed by a known key.
        CodecError
            If the bytes are not a valid packet.
        """
        packet = self._decode_body(self._verified_body(received))
        decoded = [_decode_or_none(raw) for raw in packet.messages]
        messages = tuple(one for one in decoded if one is not None)
        return VerifiedPacket(
            sender=packet.sender,
            incarnation=packet.incarnation,
            reply_to=packet.reply_to,
            sent_at=packet.sent_at,
            messages=messages,
            unknown=len(packet.messages) - len(messages),
        )

    def _encode_each(self, messages: Sequence[Message]) -> Iterator[bytes]:
        for message in messages:
            try:
                yield encode_message(message)
            except CodecError as error:
                self.on_unencodable(message, error)

    def _verified_body(self, received: bytes) -> memoryview:
        if len(received) < _HEADER_BYTES:
            raise CodecError('packet is shorter than its header')
        view = memoryview(received)
        body_start = _HEADER_BYTES + view[SIGNATURE_BYTES]
        try:
            key_id = KeyId(str(view[_HEADER_BYTES:body_start], 'ascii'))
        except UnicodeDecodeError as error:
            raise AuthenticationError('key id is not ASCII') from error
        body = view[body_start:]
        self.keys.verify(key_id, body, bytes(view[:SIGNATURE_BYTES]))
        return body

    def _decode_body(self, body: memoryview) -> Packet:
        with translating_errors('packet', CodecError):
            packet = self._decoder.decode(body)
        if not math.isfinite(packet.sent_at):
            raise CodecError('the time of sending is no time')
        return packet


def _decode_or_none(raw: msgspec.Raw) -> Message | None:
    try:
        return decode_message(raw)
    except CodecError:
        return None


def _ignore(message: Message, error: CodecError) -> None:
    """Ignore a message that cannot be encoded."""
