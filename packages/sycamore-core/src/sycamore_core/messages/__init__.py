"""Messages between processes, with their codec and signatures."""

from .codec import PROTOCOL_VERSION, Packet, PacketCodec, VerifiedPacket
from .compression import compress, decompress
from .entries import (
    CellMembers,
    CellSummary,
    CompressedMessage,
    LoadUpdate,
    TrialAnswer,
    TrialWanted,
)
from .frames import Ack, Close, Frame
from .groups import (
    GroupAnswer,
    GroupRelease,
    GroupRenew,
    GroupReserve,
    SpanDone,
    SpanRun,
)
from .heartbeats import Heartbeat, LoadReport, SettingsBody, SettingsWanted
from .inflate import inflate
from .keys import PeerKeys
from .requests import (
    Accepted,
    Attach,
    Cancel,
    Declined,
    Offer,
    PlainCall,
    PlainReply,
    Reserve,
    Reserved,
    RunReport,
    Withdraw,
)
from .union import Message, decode_message, encode_message

__all__ = (
    'PROTOCOL_VERSION',
    'Accepted',
    'Ack',
    'Attach',
    'Cancel',
    'CellSummary',
    'CellMembers',
    'Close',
    'CompressedMessage',
    'Declined',
    'LoadUpdate',
    'Frame',
    'GroupAnswer',
    'GroupRelease',
    'GroupRenew',
    'GroupReserve',
    'Heartbeat',
    'LoadReport',
    'Message',
    'Offer',
    'Packet',
    'PacketCodec',
    'VerifiedPacket',
    'PeerKeys',
    'PlainCall',
    'PlainReply',
    'Reserve',
    'Reserved',
    'RunReport',
    'SettingsBody',
    'SettingsWanted',
    'SpanDone',
    'SpanRun',
    'TrialAnswer',
    'TrialWanted',
    'Withdraw',
    'compress',
    'decode_message',
    'encode_message',
    'inflate',
    'decompress',
)
