"""What callers of a replay received, by kind and by window."""

from collections.abc import Iterable, Sequence

import msgspec

from .answers import Answer

#: Length of the windows of which the worst are shown, in seconds.
_WINDOW_SECONDS = 2.0
#: Windows that owe less are left out, as one request decides them.
_LEAST_OWED = 8.0
_WORST = 2


class KindReport(msgspec.Struct, frozen=True, kw_only=True):
    """Answers of one kind.

    Attributes
    ----------
    share
        Worth of what was received against what was owed.
    first_late, pause_late, left
        Answers whose first event came late, that paused for too long though
        the first came in time, and whose callers left.
    """

    name: str
    requests: int
    share: float
    first_late: int
    pause_late: int
    left: int


class ReplayReport(msgspec.Struct, frozen=True, kw_only=True):
    """What came of one run.

    Attributes
    ----------
    share
        Worth of what was received against what was owed.
    worst_windows
        The same in the mean of the two worst windows.
    """

    share: float
    worst_windows: float
    kinds: tuple[KindReport, ...]


def report_on(answers: Sequence[Answer]) -> ReplayReport:
    """Return what came of a run."""
    names = sorted({one.request.kind.name for one in answers})
    return ReplayReport(
        share=_share(answers),
        worst_windows=_worst_windows(answers),
        kinds=tuple(_kind(name, answers) for name in names),
    )


def _kind(name: str, answers: Iterable[Answer]) -> KindReport:
    found = [one for one in answers if one.request.kind.name == name]
    whole = [one for one in found if one.is_whole]
    first_late = [one for one in whole if one.is_first_late]
    in_time = [one for one in whole if not one.is_first_late]
    pause_late = [one for one in in_time if one.is_pause_late]
    return KindReport(
        name=name,
        requests=len(found),
        share=_share(found),
        first_late=len(first_late),
        pause_late=len(pause_late),
        left=len([one for one in found if one.has_left]),
    )


def _worst_windows(answers: Iterable[Answer]) -> float:
    windows: dict[int, list[Answer]] = {}
    for one in answers:
        number = int(one.request.at / _WINDOW_SECONDS)
        windows.setdefault(number, []).append(one)
    shares = [
        _share(found)
        for found in windows.values()
        if _owed(found) >= _LEAST_OWED
    ]
    worst = sorted(shares)[:_WORST]
    return sum(worst) / len(worst)


def _share(answers: Iterable[Answer]) -> float:
    found = tuple(answers)
    return sum(one.worth for one in found) / _owed(found)


def _owed(answers: Iterable[Answer]) -> float:
    return sum(
        one.request.kind.worth * one.request.size_factor for one in answers
    )
