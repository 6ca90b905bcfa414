"""Claims of callers' keys, written to the platform's table in batches."""

import logging
from collections import Counter
from dataclasses import dataclass, field, replace

import gevent
import msgspec
from gevent.event import AsyncResult, Event

from azurefold.border.decoding import UnreadableError, json_decoder, unreadable_as
from azurefold.core.attempts.claims import (
    Claim,
    ClaimAcquired,
    FollowAttempt,
    KeyReused,
    decide_claim,
)
from azurefold.core.attempts.ids import AnswerId, parse_answer_id
from azurefold.core.attempts.outcome import Failure, RunStatus
from azurefold.core.clock import Millis
from azurefold.internal.logs import log_event
from azurefold.internal.loops import spawn_loop
from azurefold.site_store.client import PlatformClient
from azurefold.site_store.messages import (
    Condition,
    Conflict,
    Put,
    Row,
    Rows,
    Transaction,
    Unavailable,
    Unknown,
    Written,
)

__all__ = ["ClaimTaker", "ClaimWriter", "new_claim_writer"]

_log = logging.getLogger("azurefold.entry")

_GATHER_MS: Millis = 3
_MAX_BATCH = 64
_READ_BACKS = 3
_SECOND_MS = 1_000
_RETRY_AFTER_MS: Millis = 2_000
_WRITERS = 4
_RESULTS = {ClaimAcquired: "taken", FollowAttempt: "followed", KeyReused: "reused"}
_decode_claim = json_decoder(Claim)
_CLAIM_UNREADABLE = (
    "This call was not run. Whether an earlier one with the same "
    "Idempotency-Key was run cannot be told, as its row cannot be read."
)
_KEY_UNCHECKED = (
    "This call was not run. Whether an earlier one with the same "
    "Idempotency-Key was run cannot be looked up now; come back later."
)


@dataclass(frozen=True, slots=True)
class _Wish:
    key: str
    claim: Claim
    version: int | None
    result: AsyncResult


@dataclass(slots=True)
class ClaimWriter:
    """Gathers claims for a few milliseconds and writes them together.

    The table takes several hundred writes a second, far fewer than there are
    requests at the peak; a batch counts as one.
    """

    platform: PlatformClient
    results: Counter[str] = field(default_factory=Counter)
    _wishes: list[_Wish] = field(default_factory=list)
    _some: Event = field(default_factory=Event)

    def start(self) -> None:
        """Start the greenlets that write."""
        for _ in range(_WRITERS):
            spawn_loop(self._write_for_ever)

    def write(self, key: str, claim: Claim, version: int | None) -> Row | Unavailable:
        """Write a claim where the row has ``version`` (None: is absent).

        Returns
        -------
        Row or Unavailable
            The row that is in the table now, whoever wrote it.
        """
        wish = _Wish(key, claim, version, AsyncResult())
        self._wishes.append(wish)
        self._some.set()
        return wish.result.get()

    def _write_for_ever(self) -> None:
        while True:
            self._some.wait()
            gevent.sleep(_GATHER_MS / _SECOND_MS)
            self._write_or_refuse(self._take_batch())

    def _write_or_refuse(self, batch: list[_Wish]) -> None:
        # A caller waits for each of these. One left without a result by a
        # fault would wait for ever, and its place in the queue with it.
        try:
            if batch:
                self._write_batch(batch)
        finally:
            left = [wish for wish in batch if not wish.result.ready()]
            _answer_all(left, Unavailable("the claim could not be written"))

    def _take_batch(self) -> list[_Wish]:
        """Take wishes for different keys; two for one key cannot go together."""
        batch: dict[str, _Wish] = {}
        left = []
        for wish in self._wishes:
            fits = wish.key not in batch and len(batch) < _MAX_BATCH
            if fits:
                batch[wish.key] = wish
            else:
                left.append(wish)
        self._wishes = left
        if not left:
            self._some.clear()
        return list(batch.values())

    def _write_batch(self, batch: list[_Wish]) -> None:
        result = self.platform.write(_transaction(batch))
        match result:
            case Written(versions=versions):
                for wish in batch:
                    wish.result.set(_row(wish, versions[wish.key]))
            case Conflict(rows=rows):
                self._after_conflict(batch, rows)
            case Unknown(reason=reason):
                log_event(_log, "claims_answer_lost", claims=len(batch), why=reason)
                self._read_back(batch)
            case Unavailable():
                _answer_all(batch, result)

    def _after_conflict(self, batch: list[_Wish], rows: dict[str, Row]) -> None:
        # One conflicting key fails the whole transaction; the others have
        # nothing to do with it and are written again without it.
        others = []
        for wish in batch:
            row = rows.get(wish.key)
            expected = row.version if row else None
            if expected != wish.version and row is not None:
                wish.result.set(row)
            elif expected != wish.version:
                wish.result.set(Unavailable("the claim's row vanished"))
            else:
                others.append(wish)
        if len(others) == len(batch):
            _answer_all(others, Unavailable("a conflict without a cause"))
        elif others:
            self._write_batch(others)

    def _read_back(self, batch: list[_Wish]) -> None:
        # The write may have taken effect though its answer was lost. The row
        # itself tells: it names the attempt whose claim it is.
        keys = [wish.key for wish in batch]
        for _ in range(_READ_BACKS):
            found = self.platform.read(keys)
            if isinstance(found, Rows):
                self._answer_from_rows(batch, found.rows)
                return
        _answer_all(batch, Unavailable("the claim could not be read back"))

    def _answer_from_rows(self, batch: list[_Wish], rows: dict[str, Row]) -> None:
        for wish in batch:
            row = rows.get(wish.key)
            # An absent row may still appear when the write comes through late.
            # It then names an attempt that is never dispatched, which a repeat
            # of the key finds out from the agent and takes over.
            if row is None or row.version == wish.version:
                wish.result.set(Unavailable("the claim did not take effect"))
            else:
                wish.result.set(row)


@dataclass(slots=True)
class ClaimTaker:
    """The claim of one caller's request over all its attempts.

    Parameters
    ----------
    writer : ClaimWriter
    key : str
        :func:`~azurefold.core.attempts.claims.claim_key` of the request.
    request : str
        Digest of the request.
    """

    writer: ClaimWriter
    key: str
    request: str
    _version: int | None = None

    def take(
        self, attempt_id: str, endpoint: str, incarnation: str
    ) -> ClaimAcquired | FollowAttempt | Failure:
        """Claim the key for an attempt that is about to be dispatched.

        Called again for a further attempt, it replaces the row seen last. That
        is allowed only once the attempt named there is known to be not run,
        for good; the relay sees to it.
        """
        own = Claim(attempt_id, endpoint, incarnation, self.request)
        row = self.writer.write(self.key, own, self._version)
        if isinstance(row, Unavailable):
            self.writer.results["unavailable"] += 1
            return _unavailable(row.reason)
        try:
            held = _claim_in(row)
        except UnreadableError:
            self.writer.results["unavailable"] += 1
            return _unreadable()
        self._version = row.version
        decision = decide_claim(own, held)
        self.writer.results[_RESULTS[type(decision)]] += 1
        if isinstance(decision, KeyReused):
            return _reused()
        return decision

    def check_refusal(self, failure: Failure) -> FollowAttempt | Failure:
        """Return what to tell a caller whose request was refused unclaimed.

        This call was not run, but an earlier one with the same key may have
        been, and "not run" would be read as "nothing was booked". So the row
        is looked up first; if it cannot be, the answer is "unknown".
        """
        if self._version is not None:
            return failure
        found = self.writer.platform.read([self.key])
        if isinstance(found, Unavailable):
            return replace(
                failure,
                ran=RunStatus.UNKNOWN,
                detail=_KEY_UNCHECKED,
                this_call=RunStatus.NOT_RUN,
            )
        row = found.rows.get(self.key)
        if row is None:
            return failure
        try:
            claim = _claim_in(row)
        except UnreadableError:
            return replace(
                failure,
                ran=RunStatus.UNKNOWN,
                detail=_CLAIM_UNREADABLE,
                this_call=RunStatus.NOT_RUN,
            )
        if claim.request != self.request:
            return _reused()
        self._version = row.version
        return FollowAttempt(claim)


def _transaction(batch: list[_Wish]) -> Transaction:
    conditions = tuple(Condition(wish.key, wish.version) for wish in batch)
    puts = tuple(Put(wish.key, _value(wish)) for wish in batch)
    return Transaction(conditions, puts)


def _claim_in(row: Row) -> Claim:
    """Return the claim; its names go into paths of requests to the agent."""
    with unreadable_as(UnreadableError):
        claim = _decode_claim(row.value)
        answer = AnswerId(claim.endpoint, claim.incarnation, claim.attempt_id)
        parse_answer_id(str(answer))
        return claim


def _value(wish: _Wish) -> str:
    return msgspec.json.encode(wish.claim).decode()


def _row(wish: _Wish, version: int) -> Row:
    return Row(wish.key, version, _value(wish))


def _answer_all(batch: list[_Wish], answer: Unavailable) -> None:
    for wish in batch:
        wish.result.set(answer)


def _unavailable(reason: str) -> Failure:
    return Failure(
        RunStatus.NOT_RUN,
        "claim_unavailable",
        f"The key could not be claimed, so the request was not run ({reason}).",
        _RETRY_AFTER_MS,
    )


def _unreadable() -> Failure:
    return Failure(
        RunStatus.UNKNOWN,
        "claim_unreadable",
        _CLAIM_UNREADABLE,
        this_call=RunStatus.NOT_RUN,
    )


def _reused() -> Failure:
    return Failure(
        RunStatus.NOT_RUN,
        "key_reused",
        "This Idempotency-Key belongs to another request; use a new key.",
    )


def new_claim_writer(platform: PlatformClient) -> ClaimWriter:
    """Return a writer whose greenlets are not started yet."""
    return ClaimWriter(platform)
