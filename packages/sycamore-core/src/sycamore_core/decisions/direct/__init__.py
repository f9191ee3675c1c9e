"""Decisions of an entry that calls endpoints itself.

Load pattern: short requests with tight objectives arrive together with prompts
of up to a million tokens. The engines read prompts between the generated
tokens of other requests. The modules use the cost figures of the engines, the
work of this entry at each engine and the work that its peers report.
"""

from .asked_rests import RequestedBackoffs
from .assignments import assignments_of
from .attempts import (
    AttemptEnd,
    AttemptLog,
    NextStep,
    RetryPermission,
    next_step,
    retry_permission,
)
from .cells import CellView, KnownEngine, plan_in_cells
from .connection_limit import CHECK_SECONDS as CONNECTION_CHECK_SECONDS
from .connection_limit import MAX_LATE_SECONDS, ConnectionLimit
from .engine_harm import Candidate
from .engine_work import Assignment, EngineWork
from .failures import FailureTracker
from .fleet_size import FleetSize
from .isolation import is_isolated
from .load_registry import (
    FULL_UPDATE_SECONDS,
    STALE_SECONDS,
    LoadRegistry,
    count_requests,
)
from .overdue import is_overdue, remaining_ms
from .plain_choice import choose_plain
from .plan import ReadPlan, ReadRequest
from .pressure import PredictedDemand, ShortRequestMeter
from .rate_limits import RateLimits
from .read_plan import is_short_request, plan_read
from .retry_budget import (
    RetryBudgetLimit,
    RetryBudgetState,
    RetryPermit,
    SharedRetryBudget,
)
from .return_times import (
    CallerTime,
    after_backoff,
    after_full,
    after_limit,
    after_overload,
    after_quarantine,
    after_start,
    with_jitter,
)
from .shared_sends import SharedSends
from .stop_forecast import AnswerForecast, StopMoment
from .update_pace import UPDATE_INTERVAL_SECONDS, UpdateRateLimit
from .worth import is_worth_reading

__all__ = (
    'CONNECTION_CHECK_SECONDS',
    'ConnectionLimit',
    'MAX_LATE_SECONDS',
    'STALE_SECONDS',
    'UPDATE_INTERVAL_SECONDS',
    'FULL_UPDATE_SECONDS',
    'RetryBudgetLimit',
    'RetryBudgetState',
    'RetryPermission',
    'RetryPermit',
    'RequestedBackoffs',
    'AnswerForecast',
    'AttemptEnd',
    'AttemptLog',
    'CallerTime',
    'Candidate',
    'CellView',
    'EngineWork',
    'FailureTracker',
    'FleetSize',
    'KnownEngine',
    'LoadRegistry',
    'NextStep',
    'PredictedDemand',
    'RateLimits',
    'ReadPlan',
    'ReadRequest',
    'SharedRetryBudget',
    'SharedSends',
    'Assignment',
    'ShortRequestMeter',
    'StopMoment',
    'UpdateRateLimit',
    'after_full',
    'after_quarantine',
    'after_limit',
    'after_overload',
    'after_backoff',
    'after_start',
    'assignments_of',
    'choose_plain',
    'count_requests',
    'is_isolated',
    'is_overdue',
    'is_short_request',
    'is_worth_reading',
    'next_step',
    'plan_in_cells',
    'plan_read',
    'remaining_ms',
    'retry_permission',
    'with_jitter',
)
