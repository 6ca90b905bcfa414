"""A model engine in virtual time: continuous batching and a prefix cache.

Small on purpose. A step takes longer with a fuller batch and with prompt
tokens to compute; a straggler's steps take longer by a factor.
"""

from collections import OrderedDict, deque
from collections.abc import Callable
from dataclasses import dataclass, field
from heapq import heappop, heappush

from azurefold.core.admission.messages import Priority
from azurefold.core.routing.messages import Prefix

SLOTS = 16
_STEP = 15.0
_BATCH_COST = 0.3
_PREFILL = 0.05
_CHUNK = 512
_CACHED_PREFIXES = 32


class Timeline:
    """Events in virtual time, in milliseconds."""

    def __init__(self) -> None:
        self.now = 0.0
        self._events: list[tuple[float, int, Callable, tuple]] = []
        self._count = 0

    def at(self, when: float, call: Callable, *args) -> None:
        """Call later."""
        self._count += 1
        heappush(self._events, (when, self._count, call, args))

    def run(self, until: float) -> None:
        """Run events up to a time."""
        while self._events and self._events[0][0] <= until:
            self.now, _, call, args = heappop(self._events)
            call(*args)
        self.now = until


@dataclass(slots=True, eq=False)
class Job:
    """One request of the trace and what became of it."""

    number: int
    arrival: float
    organisation: str
    priority: Priority
    prefixes: tuple[Prefix, ...]
    prompt: int
    answer: int
    deadline: float
    first: float | None = None
    done: float | None = None
    hit: int = 0
    given_up: bool = False
    prefill_left: int = 0
    answer_left: int = 0
    engine: "Engine | None" = None
    on_first: Callable | None = None
    on_done: Callable | None = None


@dataclass(slots=True, eq=False)
class Engine:
    """One endpoint's engine."""

    name: str
    timeline: Timeline
    slow: float = 1.0
    waiting: tuple[deque, deque] = field(default_factory=lambda: (deque(), deque()))
    running: list[Job] = field(default_factory=list)
    cache: OrderedDict = field(default_factory=OrderedDict)
    on_cached: Callable | None = None
    on_evicted: Callable | None = None
    stepping: bool = False

    @property
    def load(self) -> int:
        """Requests running or waiting."""
        return len(self.running) + len(self.waiting[0]) + len(self.waiting[1])

    def submit(self, job: Job) -> None:
        """Take a request in."""
        job.engine = self
        self.waiting[job.priority].append(job)
        if not self.stepping:
            self._step()

    def cancel(self, job: Job) -> None:
        """Drop a request."""
        if job in self.waiting[job.priority]:
            self.waiting[job.priority].remove(job)
        elif job in self.running:
            self.running.remove(job)

    def _step(self) -> None:
        self._admit()
        self.stepping = bool(self.running)
        if not self.running:
            return
        budget = _CHUNK
        for job in self.running:
            used = min(budget, job.prefill_left)
            job.prefill_left -= used
            budget -= used
        step = _STEP * (1 + _BATCH_COST * len(self.running) / SLOTS)
        step += _PREFILL * (_CHUNK - budget)
        end = self.timeline.now + step * self.slow
        self.timeline.at(end, self._end_step, list(self.running))

    def _end_step(self, batch: list[Job]) -> None:
        now = self.timeline.now
        for job in batch:
            if job.prefill_left or job.given_up:
                continue
            job.answer_left -= 1
            if job.first is None:
                job.first = now
                self._remember(job)
                job.on_first(job)
            if job.answer_left == 0:
                job.done = now
                self.running.remove(job)
                job.on_done(job)
        self._step()

    def _admit(self) -> None:
        for waiting in self.waiting:
            while waiting and len(self.running) < SLOTS:
                job = waiting.popleft()
                held = [p.tokens for p in job.prefixes if p.hash in self.cache]
                job.hit = max(held, default=0)
                job.prefill_left = max(1, job.prompt - job.hit)
                job.answer_left = job.answer
                self.running.append(job)

    def _remember(self, job: Job) -> None:
        for prefix in job.prefixes:
            if prefix.hash not in self.cache:
                self.on_cached(self, prefix.hash)
            self.cache[prefix.hash] = None
            self.cache.move_to_end(prefix.hash)
            if len(self.cache) > _CACHED_PREFIXES:
                gone, _ = self.cache.popitem(last=False)
                self.on_evicted(self, gone)
