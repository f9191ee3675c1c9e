"""The verdict of a chaos round finds each broken promise."""

from collections import Counter

from ..caller import (
    Answer,
    Ask,
    Fault,
    PlainAnswer,
    PlainAsk,
    Problem,
    Story,
)
from ..chaos.verdict import (
    Finding,
    ModelRecord,
    PlainRecord,
    judge_models,
    judge_plains,
)

NOT_RUN = Problem(status=503, reason='draining', not_run=True)
UNKNOWN = Problem(status=502, reason='outcome_unknown')


def model(*faults: Fault, problem: Problem | None = None) -> ModelRecord:
    answer = Answer('r1')
    answer.faults.extend(faults)
    answer.problem = problem
    ask = Ask(service='assistant', idempotent=False)
    return ModelRecord(ask, Story(answer=answer, ids=['r1']))


def plain(problem: Problem | None = None) -> PlainRecord:
    status = 200 if problem is None else problem.status
    answer = PlainAnswer(status=status, business_id='d1', problem=problem)
    ask = PlainAsk(service='records', business_id='d1')
    return PlainRecord(ask, Story(plain=answer))


def model_findings(record: ModelRecord, times: int) -> list[Finding]:
    runs = Counter({'r1': times})
    return [shown.finding for shown in judge_models([record], runs)]


def plain_findings(record: PlainRecord, times: int) -> list[Finding]:
    arrived = Counter({'d1': times})
    return [shown.finding for shown in judge_plains([record], arrived)]


def test_sound_outcomes() -> None:
    assert not model_findings(model(), times=1)
    assert not model_findings(model(problem=NOT_RUN), times=0)
    assert not model_findings(model(problem=UNKNOWN), times=1)
    assert not plain_findings(plain(), times=1)
    assert not plain_findings(plain(NOT_RUN), times=0)
    assert not plain_findings(plain(UNKNOWN), times=1)


def test_broken_promises_of_answers() -> None:
    """An answer is cut, mixed up, run twice, or run after "not run"."""
    assert model_findings(model(Fault.CUT), 1) == [Finding.LOST]
    assert model_findings(model(Fault.FOREIGN), 1) == [Finding.FOREIGN]
    assert model_findings(model(), 2) == [Finding.DOUBLED]
    ran = model_findings(model(problem=NOT_RUN), 1)
    assert ran == [Finding.RAN_AFTER_ALL]


def test_broken_promises_of_credits() -> None:
    """A credit comes twice, not at all, or after "not run"."""
    assert plain_findings(plain(), 2) == [Finding.DOUBLED]
    assert plain_findings(plain(), 0) == [Finding.NOT_DONE]
    assert plain_findings(plain(NOT_RUN), 1) == [Finding.RAN_AFTER_ALL]
