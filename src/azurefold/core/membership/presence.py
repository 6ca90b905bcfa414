"""An endpoint's reports of itself to the control processes near it."""

from dataclasses import dataclass, replace

from azurefold.core.clock import Millis
from azurefold.core.membership.endpoints import Endpoint, State
from azurefold.core.membership.messages import (
    NO_LIST,
    Announcement,
    Heartbeat,
    Message,
    Probe,
    Reply,
    Send,
    Timing,
)
from azurefold.core.membership.rendezvous import controls_digest, homes

__all__ = ["Presence"]

_REPEATS = 3
_REPEAT_AFTER: Millis = 250


@dataclass(slots=True)
class _Home:
    heard_at: Millis
    shunned_until: Millis = 0


class Presence:
    """Heartbeats and announcements of one endpoint.

    Parameters
    ----------
    own : Endpoint
        The record to announce.
    now : int
        The present time in milliseconds.
    seeds : tuple of str
        Datagram addresses of some controls, from the settings.
    timing : Timing
        The same as the controls use.
    """

    def __init__(
        self,
        own: Endpoint,
        now: Millis,
        seeds: tuple[str, ...],
        timing: Timing | None = None,
    ) -> None:
        self._own = own
        self._seeds = seeds
        self._timing = timing or Timing()
        self._controls: tuple[str, ...] = ()
        self._homes: dict[str, _Home] = {}
        self._load = own.load
        self._beat_at = now
        self._repeats = _REPEATS

    @property
    def own(self) -> Endpoint:
        """The record as announced last."""
        return self._own

    @property
    def controls(self) -> tuple[str, ...]:
        """Datagram addresses of the controls, as last told."""
        return self._controls

    def announce(self, state: State, now: Millis) -> list[Send]:
        """Tell a new state at once, then again twice in case of loss.

        Leaving cannot be taken back, nor can being gone.
        """
        state = max(state, self._own.announced)
        if state is self._own.announced:
            return []
        version = self._own.version + 1
        leaving = state >= State.LEAVING
        self._own = replace(
            self._own,
            version=version,
            announced=state,
            load=self._load,
            departing=leaving,
        )
        self._repeats = _REPEATS
        self._beat_at = now
        return self.tick(now)

    def set_load(self, load: int) -> None:
        """Give the load that the next heartbeats carry, in hundredths."""
        self._load = load

    def receive(self, message: Message, origin: str, now: Millis) -> list[Send]:
        """Take one message from a control whose seal was good."""
        if origin in self._homes:
            self._homes[origin] = _Home(heard_at=now)
        match message:
            case Probe():
                # Without its list's digest, so that no list comes back: the
                # two sides of a network partition would else give it theirs
                # in turn, and each answer is the largest message there is.
                return [Send(origin, Announcement(self._own))]
            case Reply(controls, announcement_wanted):
                if controls:
                    self._controls = controls
                return [self._announcement(origin)] if announcement_wanted else []
            case _:
                return []

    def tick(self, now: Millis) -> list[Send]:
        """Send what is due; call it each 250 ms."""
        if now < self._beat_at:
            return []
        targets = self._targets(now)
        if self._repeats:
            self._repeats -= 1
            self._beat_at = now + _REPEAT_AFTER
            return [self._announcement(target) for target in targets]
        self._beat_at = now + self._timing.heartbeat
        # One home is enough to learn of a change of the list, which is the
        # largest of all messages; of the homes, take the one heard last.
        lister = max(
            targets, key=lambda target: self._homes[target].heard_at, default=None
        )
        return [self._heartbeat(t, now, t == lister) for t in targets]

    def _targets(self, now: Millis) -> tuple[str, ...]:
        usable = [c for c in self._controls if not self._is_shunned(c, now)]
        chosen = homes(self._own.name, usable, self._timing.homes)
        if not chosen:
            # All controls that were known may have been replaced meanwhile.
            chosen = tuple(dict.fromkeys((*self._seeds, *self._controls)))
        kept = {target: self._homes.get(target) for target in chosen}
        shunned = {t: h for t, h in self._homes.items() if h.shunned_until > now}
        current = {target: home or _Home(now) for target, home in kept.items()}
        self._homes = {**shunned, **current}
        return chosen

    def _is_shunned(self, control: str, now: Millis) -> bool:
        home = self._homes.get(control)
        if home is None:
            return False
        if home.shunned_until > now:
            return True
        if home.shunned_until:
            # Its time is over; it is tried again as if never heard of.
            del self._homes[control]
            return False
        if now - home.heard_at < self._timing.shun_after:
            return False
        self._homes[control] = _Home(now, now + self._timing.shun_for)
        return True

    def _heartbeat(self, target: str, now: Millis, asks_list: bool) -> Send:
        quiet_for = now - self._homes[target].heard_at
        beat = Heartbeat(
            version=self._own.version,
            announced=self._own.announced,
            load=self._load,
            controls=controls_digest(self._controls) if asks_list else NO_LIST,
            reply_wanted=quiet_for >= self._timing.ask_reply,
        )
        return Send(target, beat)

    def _announcement(self, target: str) -> Send:
        digest = controls_digest(self._controls)
        return Send(target, Announcement(self._own, digest))
