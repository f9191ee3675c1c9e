"""Packets: several messages to one peer, signed together.

On the wire a packet is the signature, the length of the key id, the key id,
and the MessagePack form of `Packet`. Messages inside are decoded one by one:
a message of a newer version that this one does not know is counted and left
out, and the rest of the packet is used.
"""

from collections.abc import Sequence

import msgspec

from ..errors import AuthenticationError, CodecError
from ..ids import Incarnation, KeyId, PeerId
from .keys import SIGNATURE_BYTES, PeerKeys
from .union import Message, decode_message, encode_message

PROTOCOL_VERSION = 1
_HEADER_BYTES = SIGNATURE_BYTES + 1


class Packet(msgspec.Struct, frozen=True, array_like=True):
    """What one process sends to another at a time.

    Attributes
    ----------
    sent_at
        The sender's monotonic clock, in seconds; only differences between
        packets of one incarnation mean anything.
    reply_to
        Address at which the sender listens.
    """

    version: int
    sender: PeerId
    incarnation: Incarnation
    reply_to: str
    sent_at: float
    messages: tuple[msgspec.Raw, ...]


class Parcel(msgspec.Struct, frozen=True):
    """A packet that was received and checked.

    Attributes
    ----------
    unknown
        Number of messages left out because they could not be decoded.
    """

    sender: PeerId
    incarnation: Incarnation
    reply_to: str
    sent_at: float
    messages: tuple[Message, ...]
    unknown: int = 0


class PacketCodec:
    """Writes and reads signed packets.

    Parameters
    ----------
    keys
        Keys that sign and verify.
    sender, incarnation, reply_to
        What the packets say of this process.
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
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder = msgspec.msgpack.Decoder(Packet)

    def encode(self, messages: Sequence[Message], sent_at: float) -> bytes:
        """Return the signed bytes of one packet."""
        packet = Packet(
            version=PROTOCOL_VERSION,
            sender=self.sender,
            incarnation=self.incarnation,
            reply_to=self.reply_to,
            sent_at=sent_at,
            messages=tuple(
                msgspec.Raw(encode_message(message)) for message in messages
            ),
        )
        body = self._encoder.encode(packet)
        key_id = self.keys.signing.encode()
        header = self.keys.sign(body) + bytes((len(key_id),))
        return b''.join((header, key_id, body))

    def decode(self, received: bytes) -> Parcel:
        """Check and read one packet.

        Raises
        ------
        AuthenticationError
            If no known key has signed it.
        CodecError
            If it is not a packet.
        """
        packet = self._read(self._checked_body(received))
        decoded = [_decode_or_none(raw) for raw in packet.messages]
        messages = tuple(entry for entry in decoded if entry is not None)
        return Parcel(
            sender=packet.sender,
            incarnation=packet.incarnation,
            reply_to=packet.reply_to,
            sent_at=packet.sent_at,
            messages=messages,
            unknown=len(packet.messages) - len(messages),
        )

    def _checked_body(self, received: bytes) -> memoryview:
        if len(received) < _HEADER_BYTES:
            raise CodecError('shorter than the header')
        view = memoryview(received)
        body_start = _HEADER_BYTES + view[SIGNATURE_BYTES]
        try:
            key_id = KeyId(str(view[_HEADER_BYTES:body_start], 'ascii'))
        except UnicodeDecodeError as error:
            raise AuthenticationError('key id is not ASCII') from error
        body = view[body_start:]
        self.keys.verify(key_id, body, bytes(view[:SIGNATURE_BYTES]))
        return body

    def _read(self, body: memoryview) -> Packet:
        try:
            return self._decoder.decode(body)
        except msgspec.DecodeError as error:
            raise CodecError(str(error)) from error


def _decode_or_none(raw: msgspec.Raw) -> Message | None:
    try:
        return decode_message(raw)
    except CodecError:
        return None
