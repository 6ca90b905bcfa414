"""Reports of an endpoint to its owners, control processes of its data centre.

Like the directory, this module does no input or output: it takes messages and the time
as arguments and returns the messages to send.
"""

from dataclasses import dataclass, replace

from azurefold.core.clock import Millis
from azurefold.core.membership.endpoints import Endpoint, State
from azurefold.core.membership.messages import (
    SKIP_CONTROL_LIST,
    Announcement,
    Heartbeat,
    Message,
    Probe,
    Reply,
    Send,
    Timing,
)
from azurefold.core.membership.rendezvous import controls_digest, select_owners

__all__ = ["Presence"]

_ANNOUNCEMENT_SENDS = 3
_REPEAT_INTERVAL_MS: Millis = 250


@dataclass(slots=True)
class _Owner:
    """Times of an owner: its last message, or its selection before the first one, and
    the end of its exclusion, 0 if it is not excluded.
    """

    last_message_at: Millis
    excluded_until: Millis = 0


class Presence:
    """Heartbeats and announcements of one endpoint.

    Parameters
    ----------
    own : Endpoint
        The record to announce.
    now : int
        The present time in milliseconds.
    seeds : tuple of str
        Datagram addresses of some controls, from the settings. They are used while no
        owner can be selected.
    timing : Timing
        Intervals and budgets; they must be the same as those of the controls.
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
        self._owners: dict[str, _Owner] = {}
        self._load = own.load
        self._next_send_at = now
        self._remaining_announcements = _ANNOUNCEMENT_SENDS

    @property
    def own(self) -> Endpoint:
        """This endpoint's record, as most recently announced."""
        return self._own

    @property
    def controls(self) -> tuple[str, ...]:
        """Datagram addresses of the controls, as most recently received."""
        return self._controls

    def announce(self, state: State, now: Millis) -> list[Send]:
        """Announce a new state immediately, and twice more in case of loss.

        A state is never followed by an earlier one, so neither leaving nor being gone
        can be undone.
        """
        state = max(state, self._own.announced)
        if state is self._own.announced:
            return []
        version = self._own.version + 1
        is_leaving = state >= State.LEAVING
        self._own = replace(
            self._own,
            version=version,
            announced=state,
            load=self._load,
            departing=is_leaving,
        )
        self._remaining_announcements = _ANNOUNCEMENT_SENDS
        self._next_send_at = now
        return self.tick(now)

    def set_load(self, load: int) -> None:
        """Set the load that the next heartbeats report, in hundredths of capacity."""
        self._load = load

    def receive(self, message: Message, origin: str, now: Millis) -> list[Send]:
        """Process one authenticated message from a control."""
        if origin in self._owners:
            self._owners[origin] = _Owner(last_message_at=now)
        match message:
            case Probe():
                # The announcement has no digest, so that the reply contains no list of
                # controls. Otherwise the two sides of a network partition would
                # alternately send their lists, which are the largest of all messages.
                return [Send(origin, Announcement(self._own))]
            case Reply(controls, announcement_wanted):
                if controls:
                    self._controls = controls
                return [self._build_announcement(origin)] if announcement_wanted else []
            case _:
                return []

    def tick(self, now: Millis) -> list[Send]:
        """Return the messages that are due; call it every 250 ms."""
        if now < self._next_send_at:
            return []
        targets = self._select_targets(now)
        if self._remaining_announcements:
            self._remaining_announcements -= 1
            self._next_send_at = now + _REPEAT_INTERVAL_MS
            return [self._build_announcement(target) for target in targets]
        self._next_send_at = now + self._timing.heartbeat_interval_ms
        # A list of controls is the largest of all messages, so it is requested from one
        # owner only: the one that sent a message most recently.
        list_source = max(
            targets,
            key=lambda target: self._owners[target].last_message_at,
            default=None,
        )
        return [
            self._build_heartbeat(target, now, target == list_source)
            for target in targets
        ]

    def _select_targets(self, now: Millis) -> tuple[str, ...]:
        usable = [
            control
            for control in self._controls
            if not self._update_exclusion(control, now)
        ]
        chosen = select_owners(self._own.name, usable, self._timing.owner_count)
        if not chosen:
            # No owner is usable. All known controls may have been replaced in the
            # meantime, so the seeds are contacted too.
            chosen = tuple(dict.fromkeys((*self._seeds, *self._controls)))
        kept = {target: self._owners.get(target) for target in chosen}
        excluded = {
            target: owner
            for target, owner in self._owners.items()
            if owner.excluded_until > now
        }
        current = {target: owner or _Owner(now) for target, owner in kept.items()}
        self._owners = {**excluded, **current}
        return chosen

    def _update_exclusion(self, control: str, now: Millis) -> bool:
        """Start or end the exclusion of a control; return whether it is excluded."""
        owner = self._owners.get(control)
        if owner is None:
            return False
        if owner.excluded_until > now:
            return True
        if owner.excluded_until:
            # The exclusion has ended; the control is treated like a new one.
            del self._owners[control]
            return False
        if now - owner.last_message_at < self._timing.exclude_after_ms:
            return False
        self._owners[control] = _Owner(now, now + self._timing.exclude_for_ms)
        return True

    def _build_heartbeat(
        self, target: str, now: Millis, should_request_list: bool
    ) -> Send:
        silent_for = now - self._owners[target].last_message_at
        heartbeat = Heartbeat(
            version=self._own.version,
            announced=self._own.announced,
            load=self._load,
            controls=controls_digest(self._controls)
            if should_request_list
            else SKIP_CONTROL_LIST,
            reply_wanted=silent_for >= self._timing.request_reply_after_ms,
        )
        return Send(target, heartbeat)

    def _build_announcement(self, target: str) -> Send:
        digest = controls_digest(self._controls)
        return Send(target, Announcement(self._own, digest))
