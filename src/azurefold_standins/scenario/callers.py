"""Callers of a scenario: what they send, and all that they are told."""

import json
import threading
import time
from collections.abc import Callable, Iterator
from concurrent.futures import Future, ThreadPoolExecutor
from dataclasses import dataclass, field

from azurefold_standins.client import Answer, Client, StreamEvent
from azurefold_standins.scenario.steps import Drafts
from azurefold_standins.text import confirmation, whole_text

__all__ = ["Booking", "Callers", "Draft"]

_ORGANISATION = "union"
_PATH = "/services/{service}/book"
_WORKERS = 16
_RESUMES = 60
_RESUME_PAUSE_S = 0.25
_ANSWER_TIMEOUT_S = 120.0


@dataclass(slots=True)
class Booking:
    """A non-idempotent call and its answers in their order.

    Parameters
    ----------
    service : str
    body : bytes
        Different for each booking, so that the journal tells them apart.
    key : str or None
        The ``Idempotency-Key``.
    """

    service: str
    body: bytes
    key: str | None
    answers: list[Answer] = field(default_factory=list)

    @property
    def expected(self) -> dict[str, str]:
        """The whole answer."""
        return {"confirmed": confirmation(self.body)}

    def send(self, address: str) -> None:
        """Send it, for the first time or again."""
        headers = {} if self.key is None else {"Idempotency_Key": self.key}
        caller = Client(address, _ORGANISATION)
        path = _PATH.format(service=self.service)
        self.answers.append(caller.post(path, self.body, **headers))


@dataclass(slots=True)
class Draft:
    """A stream and all that its caller has of it.

    Parameters
    ----------
    prompt : str
    tokens : int
    tries : int
        How often its caller asks, the first time included.
    """

    prompt: str
    tokens: int
    tries: int = 1
    pieces: list[str] = field(default_factory=list)
    last_event_id: str = ""
    end: StreamEvent | None = None
    resumes: int = 0

    @property
    def text(self) -> str:
        """What has come so far."""
        return "".join(self.pieces)

    @property
    def expected(self) -> str:
        """The whole answer."""
        return whole_text(self.prompt, self.tokens)

    @property
    def whole(self) -> bool:
        """Whether it ended well, with every character in its place."""
        ended = self.end is not None and self.end.kind == "done"
        return ended and self.text == self.expected

    def read(self, addresses: list[str]) -> None:
        """Read it to its end, resuming at the next entry when it breaks.

        An error with an id before it is not the end either: the endpoint may
        still have the answer, so its caller comes back a while.
        """
        for number in range(self.tries):
            caller = Client(addresses[min(number, len(addresses) - 1)], _ORGANISATION)
            if number:
                time.sleep(_RESUME_PAUSE_S)
            if self._take(self._events(caller)):
                return

    def _events(self, caller: Client) -> Iterator[StreamEvent]:
        # A caller who has no id yet has no text either, and drafts are
        # idempotent: it asks anew.
        if not self.last_event_id:
            return caller.stream(self.prompt, self.tokens)
        self.resumes += 1
        return caller.resume(self.last_event_id)

    def _take(self, events: Iterator[StreamEvent]) -> bool:
        for event in events:
            if event.event_id:
                self.last_event_id = event.event_id
            if event.kind == "text":
                self.pieces.append(event.text)
            elif event.kind in ("done", "error"):
                self.end = event
                return event.kind == "done" or not self.last_event_id
        return False


@dataclass(slots=True)
class Callers:
    """All callers of one scenario.

    Parameters
    ----------
    name : str
        Makes bodies and prompts those of this run alone.
    address : callable
        Returns the address where an entry listens.
    """

    name: str
    address: Callable[[str], str]
    bookings: list[Booking] = field(default_factory=list)
    drafts: list[Draft] = field(default_factory=list)
    _pool: ThreadPoolExecutor = field(
        default_factory=lambda: ThreadPoolExecutor(_WORKERS)
    )
    _pending: list[Future] = field(default_factory=list)
    _threads: list[threading.Thread] = field(default_factory=list)

    def book(
        self, service: str, count: int, with_keys: bool, entries: tuple[str, ...]
    ) -> None:
        """Begin to send bookings, to each entry in turn."""
        for number in range(count):
            serial = len(self.bookings)
            key = f"{self.name}-{serial}" if with_keys else None
            body = json.dumps({"slot": f"{self.name}-{serial}"}).encode()
            booking = Booking(service, body, key)
            self.bookings.append(booking)
            self._send(booking, entries[number % len(entries)])

    def repeat(self, entries: tuple[str, ...]) -> None:
        """Begin to send every booking with a key again, through each entry."""
        for booking in self.bookings:
            for entry in entries:
                if booking.key is not None:
                    self._send(booking, entry)

    def draft(self, step: Drafts) -> None:
        """Begin to read drafts."""
        addresses = [self.address(entry) for entry in step.entries]
        tries = _RESUMES if step.resuming else 1
        for _ in range(step.count):
            prompt = f"{self.name} lot {len(self.drafts)}"
            draft = Draft(prompt, step.tokens, tries)
            self.drafts.append(draft)
            thread = threading.Thread(target=draft.read, args=(addresses,), daemon=True)
            thread.start()
            self._threads.append(thread)

    def join(self) -> None:
        """Wait until all callers have their final answers.

        Raises
        ------
        TimeoutError
            If some have none after a time that is generous on any machine.
        """
        until = time.monotonic() + _ANSWER_TIMEOUT_S
        for future in self._pending:
            future.result(max(0.0, until - time.monotonic()))
        for thread in self._threads:
            thread.join(max(0.0, until - time.monotonic()))
            if thread.is_alive():
                raise TimeoutError("a draft has not ended")
        self._pending.clear()
        self._threads.clear()

    def close(self) -> None:
        """Send nothing more."""
        self._pool.shutdown(wait=False, cancel_futures=True)

    def _send(self, booking: Booking, entry: str) -> None:
        self._pending.append(self._pool.submit(booking.send, self.address(entry)))
