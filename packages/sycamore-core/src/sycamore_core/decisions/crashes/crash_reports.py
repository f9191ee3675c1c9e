"""The crashes that an entry reports to its peers."""

from collections.abc import Iterable

from ...routing import CrashReport
from .crash_records import CrashRecord
from .traits import is_part

#: How long a change is part of every message to peers, in seconds. At least one
#: message in this time is a full update.
_RECENT_SECONDS = 1.2
#: Upper bound of the changed traits in one message, which must stay small while
#: many endpoints crash.
_MAX_RECENT_TRAITS = 16
#: Crashes from which a changed trait is reported before others.
_MANY_CRASHES = 3
#: Quarantined contents, and quarantined parts, that are reported again each
#: second, in rotation. An entry that was partitioned or suspended receives all
#: of them in this way.
_REPEATED_TRAITS = 4


def recent_reports(
    records: Iterable[CrashRecord], now: float
) -> tuple[CrashReport, ...]:
    """Return reports of recent changes, for every message to peers."""
    start = now - _RECENT_SECONDS
    changed = [record for record in records if record.changed_at >= start]
    changed.sort(key=_report_priority)
    return build_reports(changed[:_MAX_RECENT_TRAITS], now)


def rotating_reports(
    suspects: Iterable[CrashRecord], now: float
) -> tuple[CrashReport, ...]:
    """Return reports of some quarantined traits.

    Parts have turns of their own. Unlike requests with one part leave hundreds
    of quarantined contents, and a part would be reported once a minute.
    """
    repeated: list[CrashRecord] = []
    for records in _by_kind(suspects):
        start = int(now) * _REPEATED_TRAITS % max(1, len(records))
        repeated += records[start : start + _REPEATED_TRAITS]
    return build_reports(repeated, now)


def is_rotation_complete(suspects: Iterable[CrashRecord]) -> bool:
    """Return whether the rotating reports always cover all suspect traits."""
    return max(map(len, _by_kind(suspects))) <= _REPEATED_TRAITS


def build_reports(
    records: Iterable[CrashRecord], now: float
) -> tuple[CrashReport, ...]:
    """Return the reports of all crashes of some traits."""
    return tuple(
        CrashReport(
            trait=record.trait,
            endpoint=endpoint,
            age=round(now - crash.at, 3),
            had_just_begun=crash.had_just_begun,
            is_cleared=crash.is_cleared,
            tries=record.tries,
            try_age=round(now - (record.last_trial_at or now), 3),
            is_abandoned=crash.is_abandoned,
            has_output=record.has_output,
            demand_age=round(now - record.demanded_at, 3),
            ended_tries=record.ended_tries,
            was_answered=crash.was_answered,
        )
        for record in records
        for endpoint, crash in record.crashes.items()
    )


def _by_kind(
    records: Iterable[CrashRecord],
) -> tuple[list[CrashRecord], list[CrashRecord]]:
    """Return the records of contents, and those of parts."""
    by_kind: tuple[list[CrashRecord], list[CrashRecord]] = ([], [])
    for record in records:
        by_kind[is_part(record.trait)].append(record)
    return by_kind


def _report_priority(record: CrashRecord) -> tuple[bool, float]:
    return record.crash_count < _MANY_CRASHES, -record.changed_at
