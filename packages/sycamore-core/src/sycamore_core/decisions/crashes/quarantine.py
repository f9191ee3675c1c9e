"""Quarantine of requests that are suspected of crashing endpoints.

Load pattern: one request crashes each engine that begins to run it. The caller
repeats it about once a second, with a new id each time and at any entry. An
engine runs up to seven other requests beside it, and each of these loses its
stream.

Without this, the attempts of each repetition are bounded, but nothing connects
one repetition with the next. Each one crashes two engines, until a fleet of 18
is down.

A request is identified by its content (see `traits` for other traits). It is
quarantined at all entries after three crashes of endpoints that were running
it. Two crashes suffice if it had just begun to run: a request that crashes
endpoints usually does so as it begins, and few other requests have just begun
at that moment. Each crash counts in equal shares against all requests that had
just begun there, because they are often retried together at the next endpoint,
and a popular request runs at every endpoint. Entries report crashes to their
peers, and each entry counts a crash once, whichever entry observed it. If a
request is answered completely, all earlier known crashes stop counting against
its content, and count against the other suspects only.

A request that its entry gave up, as the endpoint was silent or the caller left,
may still run there and crash the endpoint. It is a suspect of this crash as
well (see `abandoned`).

If many endpoints crash at the same time, no single request is assumed to be the
cause, and further crashes of contents are not recorded.

The length of a quarantine follows from the number of crashes of three kinds:
"sole" (the only request that had just begun), "shared" (another request had
just begun as well), and "later" (the request had run for a while). A quarantine
begins when the sum of shares reaches one and a half, or at the third crash.

=====  ======  =====  ====================================================
sole   shared  later  quarantine
=====  ======  =====  ====================================================
1      0       0      none: the request is retried at another endpoint
2      0       0      full: nothing else can be the cause
1      1       0      short: the sum of shares is one and a half
0      2       0      none: the sum of shares is one
=====  ======  =====  ====================================================

A crash shortly after an answer of the same content, by any entry, has no share
in the sum and is not sole: a request that crashes each endpoint that begins to
run it has no answers (see `recent_answers`). Such a crash counts as one of the
three only.

Three crashes of any kind lead to a short quarantine, or to a full one if two of
them are sole. Each further crash makes a short quarantine nine times as long,
up to the full length.

A request in a short quarantine may be a bystander, such as a popular request
that ran at every endpoint. After the quarantine it is therefore sent in a
trial, one attempt in the whole fleet (see `trials`). A bystander gets an answer
and is then accepted at all entries.

A request that has had output did not crash an endpoint as it began, and is
judged more carefully. Those that were given up at an endpoint count as suspects
beside it. The entries that had requests at an endpoint report its crash one
after the other; such a request is neither refused nor sent until all of them
have had the time to do so. If one other request without output is a suspect of
each of its crashes, it is not quarantined, but sent in a trial at once. The
number of its trials, and so of the endpoints that it can crash, is the same.

A part of prompts is quarantined in the same way, with these differences. A
crash counts against the parts of requests without output there, unless an entry
knows a request with the part that began shortly before the crash or after it
(see `beginnings`). The quarantine begins with the third crash at another
moment. Endpoints that crash together count as one moment, so that a rack that
fails is not taken for a cause; from the fifth crash on, a part without output
is sent in trials only. A part is quarantined in full if it was the only suspect
part of three crashes and no request with it has begun lately, and for a short
time otherwise. A request is sent in a trial at once if a trait that it does not
have explains the crashes of its part.

After its quarantine a part gets three trials as well, in all. It is forgotten
when no request with it has come for the time of a full quarantine.
"""

from collections.abc import Iterable, Set

from ...ids import ContentDigest, TraitDigest
from ...routing import CrashReport
from .crash_evidence import CrashEvidence
from .crash_records import CrashRecord
from .crash_registry import (
    MAX_CRASHES_ALLOWED,
    MIN_PART_MOMENTS,
    NO_TRAITS,
    QUARANTINE_SECONDS,
)
from .traits import is_part
from .trials import (
    TRIAL_ANSWER_SECONDS,
    TrialDecision,
    TrialDenial,
    seconds_to_trial,
)

#: Number of crashes with a content as the only suspect after which the content
#: counts as the certain cause. One crash does not suffice: another entry may
#: have sent the actual cause and died before it reported the crash.
_CONCLUSIVE_CRASHES = 2
#: Time after a crash within which the entries of a cell report what they had at
#: the endpoint, in seconds: a probe of each entry, and an update.
SETTLE_SECONDS = 0.1
#: Quarantine of a trait that may be a bystander, in seconds. Crashed endpoints
#: are back by then. Each further crash multiplies the time.
SHORT_QUARANTINE_SECONDS = 10.0
_QUARANTINE_GROWTH = 9.0


class Quarantine(CrashEvidence):
    """Traits of requests that one entry does not send to any endpoint.

    Examples
    --------
    >>> from sycamore_core.routing import EndpointLifetime
    >>> quarantine = Quarantine()
    >>> for name in ('e1', 'e2'):
    ...     crashed = EndpointLifetime(name, 5)
    ...     _ = quarantine.record_crash(
    ...         b'digest', crashed, 10, had_just_begun=True
    ...     )
    >>> quarantine.is_quarantined(b'digest', now=11)
    True
    """

    def handle_reports(
        self,
        reports: Iterable[CrashReport],
        now: float,
    ) -> list[TraitDigest]:
        """Handle a peer's reports of crashes.

        Returns
        -------
        list
            The traits whose quarantine begins with these reports.
        """
        added = []
        for report in reports:
            was_held = self.is_held(report.trait, now)
            self.merge(report, now)
            if not was_held and self.is_held(report.trait, now):
                added.append(report.trait)
        return added

    def is_held(self, trait: TraitDigest, now: float) -> bool:
        """Return whether requests with a trait are refused, or only tried."""
        if is_part(trait):
            return self.book.find_suspect(trait, now) is not None
        return self.is_quarantined(trait, now)

    def is_quarantined(self, trait: TraitDigest, now: float) -> bool:
        """Return whether a trait is in quarantine."""
        return self.seconds_left(trait, now) > 0

    def seconds_left(
        self,
        trait: TraitDigest,
        now: float,
        beside: Set[TraitDigest] = NO_TRAITS,
    ) -> float:
        """Return the time until a quarantine ends, in seconds.

        Parameters
        ----------
        beside
            All traits of the request.
        """
        record = self.book.find_suspect(trait, now)
        if record is None or self.book.is_explained(record, beside):
            return 0
        return max(
            0, record.last_crash_at + self._quarantine_seconds(record) - now
        )

    def seconds_to_settle(self, trait: TraitDigest, now: float) -> float:
        """Return the time until the reports of the last crash are in.

        A suspect request that has had output waits for this time, in seconds,
        before it is refused or sent. Each report that is still on its way may
        name another suspect. A content without output is judged at once. Other
        entries may know that a part has had output.
        """
        record = self.book.find_suspect(trait, now)
        if record is None:
            return 0
        if not is_part(trait) and not record.has_output:
            return 0
        return max(0, record.learned_at + SETTLE_SECONDS - now)

    def is_in_doubt(self, trait: TraitDigest, now: float) -> bool:
        """Return whether a trait needs a trial before it is accepted."""
        is_known = self.book.find_suspect(trait, now) is not None
        return is_known and not self.is_quarantined(trait, now)

    def seconds_to_trial(self, trait: TraitDigest, now: float) -> float:
        """Return the time until a caller may ask for a trial, in seconds.

        A trial in progress usually ends long before its time is over. Once it
        is known to have ended, the time is exact.
        """
        record = self.book.records[trait]
        seconds = seconds_to_trial(record, now)
        if seconds is None:
            return record.last_needed_at + QUARANTINE_SECONDS - now
        if not record.is_trial_in_progress:
            return seconds
        return min(seconds, TRIAL_ANSWER_SECONDS)

    def decide_trial(self, trait: TraitDigest, now: float) -> TrialDecision:
        """Grant a trial of a suspect trait, or say why not."""
        if not self.is_in_doubt(trait, now):
            return TrialDecision(denial=TrialDenial.NOT_IN_DOUBT)
        record = self.book.records[trait]
        seconds = seconds_to_trial(record, now)
        if seconds is None:
            return TrialDecision(denial=TrialDenial.SPENT)
        if seconds and record.is_trial_in_progress:
            return TrialDecision(denial=TrialDenial.IN_PROGRESS)
        if seconds:
            return TrialDecision(denial=TrialDenial.PAUSED)
        number = record.tries + 1
        self.record_trial(trait, number, now)
        return TrialDecision(number)

    def crash_count(self, trait: TraitDigest) -> int:
        """Return how many crashes count against a trait."""
        record = self.book.records.get(trait)
        return 0 if record is None else record.crash_count

    def other_suspects(self, content: ContentDigest) -> set[ContentDigest]:
        """Return the other contents that are suspects of the same crashes."""
        record = self.book.records.get(content)
        crashes = () if record is None else record.suspected_endpoints
        others = self.book.suspects.others_at(content, crashes)
        return {other for other in others if not is_part(other)}

    def _quarantine_seconds(self, record: CrashRecord) -> float:
        shares = self.book.shares(record)
        sole_suspect_crashes = sum(share >= 1 for share in shares)
        if is_part(record.trait):
            is_alone = sole_suspect_crashes >= MIN_PART_MOMENTS
            return _part_quarantine_seconds(
                record.moment_count,
                is_certain=is_alone
                and not self.beginnings.has_begun(record.trait),
            )
        if sole_suspect_crashes >= _CONCLUSIVE_CRASHES:
            return QUARANTINE_SECONDS
        return _short_quarantine_seconds(record.crash_count)


def _part_quarantine_seconds(moments: int, *, is_certain: bool) -> float:
    """Return the length of a quarantine of a part, in seconds.

    Parameters
    ----------
    moments
        Number of moments at which endpoints crashed.
    is_certain
        Whether it was the only suspect part often enough, and no request with
        it is known to have begun lately.
    """
    if moments < MIN_PART_MOMENTS:
        return 0
    return (
        QUARANTINE_SECONDS if is_certain else _short_quarantine_seconds(moments)
    )


def _short_quarantine_seconds(crashes: int) -> float:
    """Return the length of a short quarantine, in seconds."""
    further = max(0, crashes - MAX_CRASHES_ALLOWED - 1)
    return min(
        QUARANTINE_SECONDS,
        SHORT_QUARANTINE_SECONDS * _QUARANTINE_GROWTH**further,
    )
