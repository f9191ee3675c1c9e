"""Enumerations of states, kinds and reasons with stable wire values."""

import enum


class EndpointKind(enum.StrEnum):
    """Kind of backend that an endpoint process serves."""

    MODEL = 'model'
    PLAIN = 'plain'


class EndpointPhase(enum.StrEnum):
    """Phase in the life cycle of an endpoint."""

    STARTING = 'starting'
    LIVE = 'live'
    DRAINING = 'draining'
    GONE = 'gone'


class RunState(enum.StrEnum):
    """State of one request in the run ledger of an endpoint process."""

    RESERVED = 'reserved'
    ACCEPTED = 'accepted'
    RUNNING = 'running'
    FINISHED = 'finished'
    FAILED = 'failed'
    CANCELLED = 'cancelled'
    WITHDRAWN = 'withdrawn'
    NEVER_SEEN = 'never_seen'


class Execution(enum.StrEnum):
    """Whether a request is known to have run."""

    NOT_RUN = 'not_run'
    RAN = 'ran'
    UNKNOWN = 'unknown'


class Outcome(enum.StrEnum):
    """How an answer ended, as stated in its last frame."""

    COMPLETE = 'complete'
    FAILED = 'failed'
    CANCELLED = 'cancelled'
    TIMEOUT = 'timeout'


class PromptBand(enum.StrEnum):
    """Size class of a request by its prompt tokens."""

    SHORT = 'short'
    MEDIUM = 'medium'
    LONG = 'long'
    HUGE = 'huge'


class HealthState(enum.StrEnum):
    """Health of an endpoint, from the observations of one entry."""

    HEALTHY = 'healthy'
    EJECTED = 'ejected'
    PROBING = 'probing'
    RETURNING = 'returning'


class EngineRole(enum.StrEnum):
    """Which phases of generation an engine serves."""

    MIXED = 'mixed'
    PREFILL = 'prefill'
    DECODE = 'decode'


class OrderKind(enum.StrEnum):
    """Orders that an engine accepts."""

    LOAD_MODEL = 'load_model'
    LOAD_ADAPTER = 'load_adapter'
    SET_ROLE = 'set_role'


class RefusalReason(enum.StrEnum):
    """Why a request was refused; label of the refusal counter."""

    BAD_REQUEST = 'bad_request'
    UNAUTHENTICATED = 'unauthenticated'
    UNKNOWN_WORKSPACE = 'unknown_workspace'
    UNKNOWN_SERVICE = 'unknown_service'
    UNKNOWN_REQUEST = 'unknown_request'
    FORGED_REQUEST_ID = 'forged_request_id'
    BODY_TOO_LARGE = 'body_too_large'
    PROMPT_TOO_LONG = 'prompt_too_long'
    TIME_LIMIT_MISSING = 'time_limit_missing'
    TIME_LIMIT_TOO_SHORT = 'time_limit_too_short'
    OVER_SHARE = 'over_share'
    OVERLOADED = 'overloaded'
    QUEUE_FULL = 'queue_full'
    DEADLINE_UNREACHABLE = 'deadline_unreachable'
    DEADLINE_PASSED = 'deadline_passed'
    NO_ENDPOINT = 'no_endpoint'
    MEMORY_FULL = 'memory_full'
    BACKLOG_FULL = 'backlog_full'
    DRAINING = 'draining'
    WRONG_INCARNATION = 'wrong_incarnation'
    WRONG_SERVICE = 'wrong_service'
    WITHDRAWN = 'withdrawn'
    RESERVATION_EXPIRED = 'reservation_expired'
    KEY_IN_DOUBT = 'key_in_doubt'
    STALE_MESSAGE = 'stale_message'
    RETRY_BUDGET_SPENT = 'retry_budget_spent'
    OUTCOME_UNKNOWN = 'outcome_unknown'
    BACKEND_FAILED = 'backend_failed'
    GROUP_UNAVAILABLE = 'group_unavailable'
    SETTINGS_NOT_READY = 'settings_not_ready'
    SHUTTING_DOWN = 'shutting_down'


class RetryReason(enum.StrEnum):
    """Why a request was offered again; label of the retry counter."""

    DECLINED = 'declined'
    OFFER_LOST = 'offer_lost'
    ENDPOINT_SILENT = 'endpoint_silent'
    BACKEND_FAILED = 'backend_failed'
    FRAME_GAP = 'frame_gap'


class CancelReason(enum.StrEnum):
    """Why a run was cancelled."""

    CALLER_GONE = 'caller_gone'
    DEADLINE = 'deadline'
    ENTRY_SILENT = 'entry_silent'
    OPERATOR = 'operator'
    SUPERSEDED = 'superseded'


class SettingsVerdict(enum.StrEnum):
    """Result of checking a settings tree from the platform or a peer."""

    ACCEPTED = 'accepted'
    KNOWN = 'known'
    OLDER = 'older'
    #: A different tree with the current version; the current tree is kept.
    CONFLICT = 'conflict'
    INVALID = 'invalid'


class ReadOutcome(enum.StrEnum):
    """Result of one read of the settings service."""

    CHANGED = 'changed'
    UNCHANGED = 'unchanged'
    FAILED = 'failed'
