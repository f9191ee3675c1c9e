"""What a round shows to be wrong."""

import enum
from collections import Counter
from collections.abc import Iterator, Sequence

import msgspec

from ..caller import Ask, Fault, PlainAsk, Problem, Story


class Finding(enum.StrEnum):
    """A broken promise."""

    #: It ran more than once although it must not.
    DOUBLED = 'doubled'
    #: A caller was told that it was not run, and it was.
    RAN_AFTER_ALL = 'ran after all'
    #: A caller was told that it was done, and it was not.
    NOT_DONE = 'not done'
    #: A piece of an answer was another's, missing or doubled.
    FOREIGN = 'foreign'
    #: A caller was never told how its request ended.
    LOST = 'lost'
    #: Memory was not free in the end.
    LEAKED = 'leaked'


class ModelRecord(msgspec.Struct, frozen=True):
    """A model request and what became of it."""

    ask: Ask
    story: Story


class PlainRecord(msgspec.Struct, frozen=True):
    """A call of a plain service and what became of it."""

    ask: PlainAsk
    story: Story


class Evidence(msgspec.Struct, frozen=True):
    """A broken promise and what shows it."""

    finding: Finding
    shown_by: str


def judge_models(
    records: Sequence[ModelRecord],
    runs: Counter[str],
) -> list[Evidence]:
    """Return what is wrong with answers, given how often each id ran."""
    return [
        Evidence(finding, f'{record}')
        for record in records
        for finding in _model_findings(record, runs)
    ]


def judge_plains(
    records: Sequence[PlainRecord],
    credits: Counter[str],
) -> list[Evidence]:
    """Return what is wrong with calls, given how often each one arrived."""
    return [
        Evidence(finding, f'{record}')
        for record in records
        for finding in _plain_findings(record, credits)
    ]


def _model_findings(
    record: ModelRecord,
    runs: Counter[str],
) -> Iterator[Finding]:
    answer = record.story.answer
    times = sum(runs[request_id] for request_id in record.story.ids)
    if set(answer.faults) - {Fault.CUT}:
        yield Finding.FOREIGN
    if answer.request_id and answer.faults == [Fault.CUT]:
        yield Finding.LOST
    if times > 1 and not record.ask.idempotent:
        yield Finding.DOUBLED
    if times and _told_not_run(answer.problem):
        yield Finding.RAN_AFTER_ALL


def _plain_findings(
    record: PlainRecord,
    credits: Counter[str],
) -> Iterator[Finding]:
    times = credits[record.ask.business_id]
    plain = record.story.plain
    if times > 1:
        yield Finding.DOUBLED
    if plain.done and not times:
        yield Finding.NOT_DONE
    if times and _told_not_run(plain.problem):
        yield Finding.RAN_AFTER_ALL


def _told_not_run(problem: Problem | None) -> bool:
    return problem is not None and problem.not_run is True
