"""Simulation, in virtual time, of entries that share a retry budget."""

import abc
import bisect
import heapq
from collections import deque
from collections.abc import Callable

import msgspec

from ....hashes import stable_fraction
from ..fleet_size import FleetSize
from ..retry_budget import RetryBudgetLimit, RetryPermit, SharedRetryBudget

LIMIT = RetryBudgetLimit(ratio=0.2, slack=102, window=10)
#: Time from a request to its failure, in seconds.
FAILURE_SECONDS = 0.05
#: Time from a retry to its arrival on a network without delays, in seconds.
NETWORK_SECONDS = 0.001
#: Time from the start of a process until it knows the other entries, in
#: seconds.
DISCOVERY_SECONDS = 0.1
#: Maximum number of attempts of a request.
MAX_ATTEMPTS = 3


class BudgetPolicy(abc.ABC):
    """A way in which the process of one entry limits its retries.

    Parameters
    ----------
    started_at
        When the process started, in seconds.
    """

    def __init__(self, limit: RetryBudgetLimit, started_at: float) -> None:
        self.limit = limit
        self.started_at = started_at

    @abc.abstractmethod
    def record_first_attempt(self, now: float) -> None:
        """Record the first attempt of a request."""

    @abc.abstractmethod
    def may_retry(self, now: float, entries: int) -> bool:
        """Return whether a retry is permitted, and record it if so.

        Parameters
        ----------
        entries
            Number of entries that the process knows, itself included; 0 if it
            has not discovered the fleet yet.
        """


class KeptBudget(BudgetPolicy):
    """The budget that the entries use."""

    def __init__(self, limit: RetryBudgetLimit, started_at: float) -> None:
        super().__init__(limit, started_at)
        self.fleet = FleetSize()
        self.budget = SharedRetryBudget(limit, self.fleet, started_at)

    def record_first_attempt(self, now: float) -> None:
        self.budget.record_first_attempt(now)

    def may_retry(self, now: float, entries: int) -> bool:
        self.fleet.observe(entries, is_discovered=entries > 0)
        return self.budget.try_acquire(now)


class ReservingBudget(KeptBudget):
    """The budget if retries are reserved long before they are decided.

    Each failure reserves a retry. Of the permits that have been held for long
    enough, every other one is given back, and the rest are used.

    Parameters
    ----------
    hold_seconds
        Time from a reservation to its use or return.
    """

    def __init__(
        self,
        limit: RetryBudgetLimit,
        started_at: float,
        hold_seconds: float,
    ) -> None:
        super().__init__(limit, started_at)
        self.hold_seconds = hold_seconds
        self.reserved: deque[tuple[float, RetryPermit]] = deque()
        self.settled = 0

    def may_retry(self, now: float, entries: int) -> bool:
        self.fleet.observe(entries, is_discovered=entries > 0)
        permit = self.budget.acquire(now)
        if permit is not None:
            self.reserved.append((now, permit))
        if not self.reserved or now < self.reserved[0][0] + self.hold_seconds:
            return False
        self.settled += 1
        due = self.reserved.popleft()[1]
        if self.settled % 2:
            return self.budget.use(due, now)
        self.budget.give_back(due, now)
        return False


def knows_all(entry: int, process_seconds: float, entries: int) -> int:
    """Return the entries that a process knows that finds all of them."""
    return entries if process_seconds > DISCOVERY_SECONDS else 0


class FailingLoad(msgspec.Struct, frozen=True, kw_only=True):
    """Requests that fail, and entries that restart meanwhile.

    Attributes
    ----------
    requests_per_s
        Requests at each entry, per second.
    failing
        Fraction of the attempts that fail between `fails_from` and
        `fails_to`, in seconds.
    restarts
        When the processes of all entries start again, in seconds.
    known
        Returns how many entries a process knows, by entry, age of the process
        in seconds, and number of entries.
    arrives_at
        Returns when a retry arrives that is decided at a time, in seconds.
    """

    entries: int = 4
    requests_per_s: float = 20
    failing: float = 0.9
    fails_from: float = 15
    fails_to: float = 35
    seconds: float = 45
    restarts: tuple[float, ...] = ()
    known: Callable[[int, float, int], int] = knows_all
    arrives_at: Callable[[float], float] = lambda at: at + NETWORK_SECONDS
    limit: RetryBudgetLimit = LIMIT
    seed: int = 1


class BudgetResult(msgspec.Struct, kw_only=True):
    """What endpoints received.

    Attributes
    ----------
    first_attempts, retries
        Times of the arrivals, in order, in seconds.
    wanted
        Number of the failed attempts that another attempt could follow.
    """

    first_attempts: list[float]
    retries: list[float]
    wanted: int

    @property
    def denied(self) -> int:
        """Number of the failed attempts that the budget ended."""
        return self.wanted - len(self.retries)

    def largest_excess(self, limit: RetryBudgetLimit) -> float:
        """Return by how much a window exceeds the operator's limit at most.

        The requests of a window are those in it, in the window before it or in
        the one half a window before it, whichever has most.
        """
        return max(
            (self._excess(begin, limit) for begin in self.retries),
            default=-limit.slack,
        )

    def _excess(self, begin: float, limit: RetryBudgetLimit) -> float:
        window = limit.window
        requests = max(
            _count(self.first_attempts, begin - shift, window)
            for shift in (0, window / 2, window)
        )
        retries = _count(self.retries, begin, window)
        return retries - limit.ratio * requests - limit.slack


class BudgetReplay:
    """Plays a load against a policy."""

    def __init__(
        self,
        policy: Callable[[RetryBudgetLimit, float], BudgetPolicy],
        load: FailingLoad,
    ) -> None:
        self.policy = policy
        self.load = load
        self.draws = 0
        self.wanted = 0
        self.retries: list[float] = []
        self.processes = [policy(load.limit, 0) for _ in range(load.entries)]
        self._events: list[tuple[float, int, int]] = []

    def run(self) -> BudgetResult:
        """Play the load to its end."""
        first_attempts = self._add_requests()
        restarts = list(self.load.restarts)
        while self._events:
            now, entry, attempt = heapq.heappop(self._events)
            while restarts and restarts[0] <= now:
                self._restart(restarts.pop(0))
            self._handle(now, entry, attempt)
        return BudgetResult(
            first_attempts=first_attempts,
            retries=sorted(self.retries),
            wanted=self.wanted,
        )

    def _add_requests(self) -> list[float]:
        load = self.load
        number = int(load.requests_per_s * load.seconds)
        for entry in range(load.entries):
            for _ in range(number):
                at = self._draw() * load.seconds
                self._events.append((at, entry, 0))
        heapq.heapify(self._events)
        return sorted(at for at, _, _ in self._events)

    def _restart(self, at: float) -> None:
        self.processes = [
            self.policy(self.load.limit, at) for _ in self.processes
        ]

    def _handle(self, now: float, entry: int, attempt: int) -> None:
        """Handle a request, or the failure of one of its attempts."""
        process = self.processes[entry]
        if attempt == 0:
            process.record_first_attempt(now)
        elif not self._retry(process, now, entry):
            return
        is_last = attempt + 1 >= MAX_ATTEMPTS
        if not is_last and self._fails(now):
            failed_at = now + FAILURE_SECONDS
            heapq.heappush(self._events, (failed_at, entry, attempt + 1))

    def _retry(self, process: BudgetPolicy, now: float, entry: int) -> bool:
        self.wanted += 1
        load = self.load
        known = load.known(entry, now - process.started_at, load.entries)
        is_permitted = process.may_retry(now, known)
        if is_permitted:
            self.retries.append(load.arrives_at(now))
        return is_permitted

    def _fails(self, now: float) -> bool:
        load = self.load
        is_failing = load.fails_from <= now < load.fails_to
        return is_failing and self._draw() < load.failing

    def _draw(self) -> float:
        """Return the next pseudorandom number from 0 to 1."""
        self.draws += 1
        seed = self.load.seed
        return stable_fraction(f'{seed} {self.draws}')


def replay(
    load: FailingLoad,
    policy: Callable[[RetryBudgetLimit, float], BudgetPolicy] = KeptBudget,
) -> BudgetResult:
    """Return what endpoints receive under a load."""
    return BudgetReplay(policy, load).run()


def _count(times: list[float], begin: float, seconds: float) -> int:
    first = bisect.bisect_left(times, begin)
    return bisect.bisect_right(times, begin + seconds) - first
