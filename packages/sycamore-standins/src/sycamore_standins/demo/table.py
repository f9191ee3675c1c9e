"""The table that the demo prints, and its verdict."""

import statistics
from collections import Counter
from collections.abc import Iterator, Sequence

from sycamore_core.settings import BandLimits
from sycamore_core.states import PromptBand

from .run import DemoResults, ModelResult, PlainResult

_PERCENTILE = 0.95
_TITLES = (
    'band',
    'asked',
    'first p50',
    'first p95',
    'done p50',
    'done p95',
    'whole',
)
_COLUMNS = '{:<8}{:>7}{:>11}{:>11}{:>11}{:>11}{:>7}'


class DemoTable:
    """Judges the results by what callers received."""

    def __init__(self, results: DemoResults) -> None:
        self.results = results
        self.bands = BandLimits()

    def lost(self) -> list[str]:
        """Return what was not answered whole, or not to its caller."""
        models = [_lost_model(result) for result in self.results.models]
        plains = [_lost_plain(result) for result in self.results.plains]
        return [text for text in models + plains if text]

    def is_sound(self) -> bool:
        """Return whether everything was answered whole, once and freed."""
        counts = self.results.counts
        faults = self.lost() or counts.doubled()
        return not faults and not counts.held_tokens

    def lines(self) -> Iterator[str]:
        """Yield the lines of the table."""
        yield _COLUMNS.format(*_TITLES)
        for band in PromptBand:
            yield self._band_line(band)
        yield self._plain_line()
        yield from self._fault_lines()

    def _fault_lines(self) -> Iterator[str]:
        counts = self.results.counts
        lost = self.lost()
        yield f'refusals by reason: {_counted(self._refusals())}'
        yield f'retries by reason: {_counted(counts.retries)}'
        yield '\n  '.join((f'lost or foreign: {len(lost)}', *lost))
        doubled = counts.doubled()
        yield '\n  '.join((f'ran twice: {len(doubled)}', *doubled))
        yield f'tokens still held: {counts.held_tokens}'

    def _band_line(self, band: PromptBand) -> str:
        results = [
            result
            for result in self.results.models
            if self._band_of(result) == band
        ]
        first = [result.story.first_token_seconds for result in results]
        done = [result.story.total_seconds for result in results]
        return _COLUMNS.format(
            band.value,
            len(results),
            *_spread(first),
            *_spread(done),
            sum(result.story.answer.whole for result in results),
        )

    def _plain_line(self) -> str:
        done = [result.story.total_seconds for result in self.results.plains]
        answered = sum(
            result.story.plain.done for result in self.results.plains
        )
        return _COLUMNS.format(
            'plain',
            len(done),
            '',
            '',
            *_spread(done),
            answered,
        )

    def _band_of(self, result: ModelResult) -> PromptBand:
        return self.bands.band_of(result.work.prompt_tokens)

    def _refusals(self) -> Counter[str]:
        results = (*self.results.models, *self.results.plains)
        return Counter(
            reason for result in results for reason in result.story.refusals
        )


def _lost_model(result: ModelResult) -> str:
    answer = result.story.answer
    if answer.whole:
        return ''
    work = result.work
    return f'{work.kind}, {work.prompt_tokens} tokens: {answer}'


def _lost_plain(result: PlainResult) -> str:
    plain = result.story.plain
    business_id = result.work.ask.business_id
    if plain.business_id == business_id:
        return ''
    return f'{business_id}: {plain}'


def _spread(seconds: Sequence[float]) -> tuple[str, str]:
    if not seconds:
        return '-', '-'
    ordered = sorted(seconds)
    index = int(len(ordered) * _PERCENTILE)
    late = ordered[min(index, len(ordered) - 1)]
    return _seconds(statistics.median(ordered)), _seconds(late)


def _seconds(seconds: float) -> str:
    return f'{seconds:.3f} s'


def _counted(counts: Counter[str]) -> str:
    parts = [f'{name} {count}' for name, count in sorted(counts.items())]
    return ', '.join(parts) or 'none'
