"""Decisions about requests that wait for a slot of a model service.

Load pattern: short requests with an objective of 271 ms, prompts of 45,000
tokens and prompts of up to a million tokens arrive at 24 entries at a multiple
of the rate that the engines sustain, for 3 to 10 s. Each engine has six slots,
and each request occupies its slot for 1.7 s or more.

Without a queue, each waiting request checks at intervals whether a slot is
free, and the first one to check takes the slot. Requests that have waited for
long lose to new ones, and urgent requests lose to others.

The modules decide which request of an entry is placed next (`WaitingQueue`),
which entry takes a slot (`SlotYield`), and whether a request waits at all
(`is_worth_waiting`).
"""

from .claims import Claim, PeerClaims, merged
from .forecast import StartForecast, forecast_start, is_worth_waiting
from .queue import MAX_WAITING, WaitingQueue
from .quota import ServedShares
from .requests import WaitingRequest
from .slot_yield import STEP_SECONDS, YIELD_SECONDS, SlotYield

__all__ = (
    'MAX_WAITING',
    'STEP_SECONDS',
    'YIELD_SECONDS',
    'Claim',
    'PeerClaims',
    'ServedShares',
    'SlotYield',
    'StartForecast',
    'WaitingQueue',
    'WaitingRequest',
    'forecast_start',
    'is_worth_waiting',
    'merged',
)
