"""An entry's end of the channel on which an agent sends many answers."""

from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

from gevent.event import Event

from azurefold.core.attempts.frames import EndFrame
from azurefold.core.clock import Clock, Millis
from azurefold.entry.lines import Line, LostError
from azurefold.wire.frames import BadLineError, Broken, decode_line, split_number

__all__ = ["Channel", "Followed"]

_MAX_WAITING = 4_096
_MAX_WAITING_BYTES = 1_048_576
_SIGN_OF_LIFE_MS: Millis = 1_000


@dataclass(slots=True)
class Followed:
    """The lines of one attempt, as they come on a channel.

    Parameters
    ----------
    attempt_id : str
    number : int
        What the attempt is called on the channel.
    """

    attempt_id: str
    number: int
    _items: list[Line] = field(default_factory=list)
    _bytes: int = 0
    _some: Event = field(default_factory=Event)
    _ended: bool = False
    _lost: bool = False

    @property
    def ended(self) -> bool:
        """Whether the last line has come, or none will come any more."""
        return self._ended

    @property
    def waiting(self) -> int:
        """Lines not read yet."""
        return len(self._items)

    @property
    def is_overfull(self) -> bool:
        """Whether more lines wait to be read than may."""
        return len(self._items) > _MAX_WAITING or self._bytes > _MAX_WAITING_BYTES

    def put(self, line: bytes) -> None:
        """Take in a line."""
        try:
            message = decode_line(self.attempt_id, line)
        except BadLineError:
            self.lose()
            return
        if isinstance(message, EndFrame | Broken):
            self._ended = True
        self._items.append(message)
        self._bytes += len(line)
        self._some.set()

    def sign_of_life(self) -> None:
        """Tell the reader that the channel works though no line came."""
        self._some.set()

    def lose(self) -> None:
        """Let the reader fail after the lines that have come."""
        self._ended = self._lost = True
        self._some.set()

    def lines(self) -> Iterator[list[Line]]:
        """Yield the lines.

        Raises
        ------
        LostError
            When the channel broke.
        """
        while self._items or not self._lost:
            self._some.wait()
            self._some.clear()
            items, self._items = self._items, []
            self._bytes = 0
            yield items
        raise LostError("the channel broke")


@dataclass(slots=True)
class Channel:
    """Attempts that are followed on one connection.

    Parameters
    ----------
    id : str
        What the agent knows it by.
    clock : Clock
    on_drop : callable
        Called with a reason for each line that belongs to no attempt here.
    """

    id: str
    clock: Clock
    on_drop: Callable[[str], None]
    _followed: dict[int, Followed] = field(default_factory=dict)
    _last_number: int = 0
    _told: Millis = 0

    def follow(self, attempt_id: str) -> Followed:
        """Expect lines of an attempt from now on."""
        self._last_number += 1
        followed = Followed(attempt_id, self._last_number)
        self._followed[followed.number] = followed
        return followed

    def leave(self, followed: Followed) -> None:
        """Expect no more lines of an attempt."""
        self._followed.pop(followed.number, None)

    def run(self, moments: Iterator[list[bytes]]) -> None:
        """Hand out lines until the connection fails; then all are lost.

        Each attempt is then taken up again over a connection of its own, so a
        channel that goes silent delays answers and cuts none off.
        """
        try:
            for lines in moments:
                for line in lines:
                    self._hand_out(line)
                self._give_signs_of_life()
        except (LostError, BadLineError):
            return
        finally:
            for followed in self._followed.values():
                followed.lose()
            self._followed.clear()

    def _hand_out(self, line: bytes) -> None:
        number, rest = split_number(line)
        followed = self._followed.get(number)
        if followed is None:
            self.on_drop("no_reader")
            return
        followed.put(rest)
        # A caller too slow for its answer must not fill this process's
        # memory; the agent keeps the text, and is asked again later.
        if followed.is_overfull:
            followed.lose()
        if followed.ended:
            del self._followed[number]

    def _give_signs_of_life(self) -> None:
        now = self.clock.now()
        if now - self._told < _SIGN_OF_LIFE_MS:
            return
        self._told = now
        for followed in self._followed.values():
            followed.sign_of_life()
