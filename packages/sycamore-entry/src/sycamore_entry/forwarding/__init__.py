"""An entry that forwards requests to endpoints without a sidecar process.

The endpoints report requests that they have not run, check that a request is
addressed to them, and keep reservations as leases. The entry chooses the
endpoint for each request.
"""

from .errors import ForwardingError, WireError
from .fleet.feed import (
    UNKNOWN_EPOCH,
    Change,
    ChangeBatch,
    EndpointChanged,
    EndpointRemoved,
    Epoch,
    EvacuationChanged,
    FleetFeed,
    FleetSnapshot,
    HistoryLostError,
    Revision,
    TableChanged,
)
from .process import ForwardingProcess
from .prompt_exit import PromptExit
from .settings import ColdRate, ForwardingSettings
from .wire import (
    AnnouncedLimit,
    AnswerHead,
    CallTerms,
    ColdNotice,
    Helper,
    Order,
    OutgoingTerms,
    RequestedBackoff,
    WireFormat,
)

__all__ = (
    'AnswerHead',
    'RequestedBackoff',
    'CallTerms',
    'Change',
    'ChangeBatch',
    'ColdNotice',
    'ColdRate',
    'EndpointChanged',
    'EndpointRemoved',
    'Epoch',
    'EvacuationChanged',
    'FleetFeed',
    'FleetSnapshot',
    'ForwardingError',
    'ForwardingProcess',
    'ForwardingSettings',
    'PromptExit',
    'Helper',
    'HistoryLostError',
    'AnnouncedLimit',
    'Order',
    'OutgoingTerms',
    'Revision',
    'TableChanged',
    'UNKNOWN_EPOCH',
    'WireError',
    'WireFormat',
)
