"""Trials of suspect requests after their quarantine.

Load pattern: three endpoints crash while they run a request, together with
other requests. The request is quarantined for a short time, because it may be a
bystander. A dozen callers are told to retry at the end of the quarantine, and
do so at several entries.

Without this, each entry sends one of these requests at that moment. Four
endpoints crash within a fifth of a second, and the streams of all other
requests there break, before any entry has received another entry's report.

For each request, one entry grants the trials; a hash chooses this entry among
the live entries. It grants one trial at a time, and not more than `MOST_TRIES`
while the crashes count. The number of trials is reported together with the
crashes, so that another entry that is chosen later knows the number. An entry
that may have missed such reports grants no trial (see `trial_readiness`).

A trial may end without an answer and without a crash, as its endpoint drops the
connection or its entry dies. If nobody reported this end, the next trial of a
harmless request would wait for the timeout of the caller. If the next one
followed at once, an endpoint that fails for a moment would use up all trials.
"""

import enum
from collections.abc import Iterable

import msgspec

from ...hashes import stable_hash
from ...ids import TraitDigest
from .crash_records import CrashRecord

#: Upper bound of the trials of a request after its quarantine.
MOST_TRIES = 3
#: Time in which most trials are answered, in seconds.
TRIAL_ANSWER_SECONDS = 1.0
#: Time after which a trial counts as ended, in seconds: the timeout of the
#: caller. A crash or an answer ends the trial sooner.
TRIAL_TIMEOUT_SECONDS = 12.0
#: Time from the end of a trial with neither to the next one, in seconds. A
#: crash that the trial has caused is known to all entries by then.
TRIAL_PAUSE_SECONDS = 3.0
#: How much longer the pause after the second trial is. The last trial is kept
#: for a time when endpoints that fail are repaired or replaced.
_PAUSE_GROWTH = 7


class TrialDenial(enum.StrEnum):
    """Why a trial is not granted."""

    #: The granting entry knows of no reason to suspect the request, or its
    #: quarantine is not over there.
    NOT_IN_DOUBT = 'not_in_doubt'
    #: The last trial may still be in progress.
    IN_PROGRESS = 'in_progress'
    #: The last trial ended a short time ago, without an answer or a crash.
    PAUSED = 'paused'
    #: All trials have been made.
    SPENT = 'spent'
    #: The asked entry knows another one that grants the trials.
    OTHER_ENTRY_GRANTS = 'other_entry_grants'
    #: The granting entry has just started, was suspended, or received reports
    #: from too few entries.
    INTERRUPTED = 'interrupted'
    #: A peer has joined and has not reported all its trials yet.
    PEER_JOINED = 'peer_joined'
    #: The granting entry receives reports from too few entries.
    NO_QUORUM = 'no_quorum'
    #: The granting entry has not answered in time.
    NO_ANSWER = 'no_answer'
    #: Another caller of this entry waits for the answer about the request.
    ALREADY_REQUESTED = 'already_requested'


class TrialDecision(msgspec.Struct, frozen=True):
    """Whether a trial is granted.

    Attributes
    ----------
    number
        Number of the trial, from 1; 0 if it is denied.
    denial
        Reason of a denial; empty if there is none, or none is known.
    """

    number: int = 0
    denial: TrialDenial | str = ''


def granting_entry(trait: TraitDigest, entries: Iterable[str]) -> str:
    """Return the entry that grants the trials of a trait.

    Examples
    --------
    >>> chosen = granting_entry(b'request', ('a', 'b', 'c'))
    >>> chosen == granting_entry(b'request', ('c', 'b', 'a'))
    True
    """
    return max(
        entries,
        key=lambda entry: stable_hash(f'{trait.hex()} {entry}'),
    )


def seconds_to_trial(record: CrashRecord, now: float) -> float | None:
    """Return the time until a trial is permitted, in seconds.

    None if no further trial is permitted.
    """
    if record.tries >= MOST_TRIES:
        return None
    if (
        record.last_trial_at is None
        or record.last_crash_at > record.last_trial_at
    ):
        return 0
    if record.is_trial_in_progress:
        return max(0, record.last_trial_at + TRIAL_TIMEOUT_SECONDS - now)
    pause = TRIAL_PAUSE_SECONDS * _PAUSE_GROWTH ** (record.tries - 1)
    return max(0, record.trial_ended_at + pause - now)
