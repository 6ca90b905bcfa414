"""What a site promises of confirmed changes, checked while a store world runs."""

from dataclasses import dataclass, field

from tests.gateway.store_world import (
    APPLY_MS,
    DRAIN_MS,
    SERVICE,
    STABLE_MS,
    StoreWorld,
)

_STEP_MS = 50
_BORN_MS = 1_000


@dataclass(eq=False)
class _Departure:
    confirmed_at: int
    is_undisturbed: bool


@dataclass(eq=False)
class Site:
    """A store world, what was confirmed there, and what was broken of it.

    Parameters
    ----------
    world : StoreWorld
    broken : dict of str to int
        When each promise was first broken; empty while all hold.
    """

    world: StoreWorld
    broken: dict[str, int] = field(default_factory=dict)
    version: int = 0
    _confirmed: list[tuple[int, int]] = field(default_factory=list)
    _written: dict[str, tuple[str, int]] = field(default_factory=dict)
    _departures: dict[str, _Departure] = field(default_factory=dict)
    _last_version: dict[object, int] = field(default_factory=dict)
    _seen: set[tuple[object, str, int]] = field(default_factory=set)
    _seen_gone: set[tuple[object, str, int]] = field(default_factory=set)
    _starts: int = 0
    _era_rose_at: int = -STABLE_MS

    def configure(self):
        """Write the next configuration."""
        self.version += 1
        at = self.world.configure(self.version)
        self._confirmed.append((at, self.version))

    def join(self, endpoint):
        """Let an endpoint start; it starts anew if it was there before."""
        self._starts += 1
        self._departures.pop(endpoint, None)
        self._written[endpoint] = ("ready", self._starts * _BORN_MS)
        self._write(endpoint)

    def drain(self, endpoint):
        """Let an endpoint say that it leaves."""
        self._depart(endpoint, "draining")

    def remove(self, endpoint):
        """Remove an endpoint's entry."""
        self._depart(endpoint, "removed")

    def write_late(self, endpoint):
        """Let a write of an endpoint's former start come after those of its present."""
        self.world.register(endpoint, "ready", self._written[endpoint][1] - 1)

    def go_back(self, copy, *, restarts=False, rewritten_after=300):
        """Let the store come back from a copy, and all be written again."""
        self._era_rose_at = self.world.time.at
        self._confirmed.clear()
        self._departures.clear()
        self._seen_gone.clear()
        self.world.go_back(copy, restarts=restarts)
        self.run(rewritten_after)
        self.configure()
        for endpoint, (state, _) in self._written.items():
            if state == "ready":
                self._write(endpoint)
            else:
                self._depart(endpoint, state)

    def stop(self):
        """End the world."""
        self.world.stop()

    def run(self, ms):
        """Advance the clock, checking on the way."""
        end = self.world.time.at + ms
        while self.world.time.at < end:
            self.world.run(min(_STEP_MS, end - self.world.time.at))
            self.check()

    def check(self):
        """Note what is broken now."""
        for gateway in self.world.by_name.values():
            self._check_gateway(gateway)

    def _check_gateway(self, gateway):
        now, state = self.world.time.at, gateway.state
        due = max((v for at, v in self._confirmed if now - at >= APPLY_MS), default=0)
        is_judged = self._is_undisturbed(gateway)
        if is_judged and state.version < due:
            self._note(gateway, f"has {state.version}, not {due}")
        if state.is_current and state.version < due:
            self._note(gateway, f"is current with {state.version}, not {due}")
        if state.version < self._last_version.get(gateway, 0):
            self._note(gateway, f"went back to {state.version}")
        self._last_version[gateway] = state.version
        for endpoint, departure in self._departures.items():
            self._check_endpoint(gateway, endpoint, departure, is_judged)

    def _check_endpoint(self, gateway, endpoint, departure, is_judged):
        state = gateway.state
        if SERVICE not in state.services:
            return
        is_sent_to = endpoint in state.services[SERVICE].admission.pool.endpoints
        is_due = self.world.time.at - departure.confirmed_at >= DRAIN_MS
        if is_judged and departure.is_undisturbed and is_due and is_sent_to:
            self._note(gateway, f"sends to {endpoint}")
        entry = state.registry.entries.get(endpoint)
        key = (gateway, endpoint, self._written[endpoint][1])
        if entry is not None and entry.started_at_ms == key[2]:
            self._seen.add(key)
        if entry is None or entry.leaving:
            if key in self._seen:
                self._seen_gone.add(key)
        elif key in self._seen_gone:
            self._note(gateway, f"put {endpoint} back")

    def _is_undisturbed(self, gateway=None):
        now, world = self.world.time.at, self.world
        if now - self._era_rose_at < STABLE_MS:
            return False
        faults = [*world.silences, *world.refusals]
        if gateway is None:
            faults = [each for each in faults if each.gateways is None]
            began = 0
        else:
            names = {None, gateway.name}
            faults = [f for f in faults if f.gateways is None or names & f.gateways]
            began = gateway.began
        is_hit = any(each.begin <= now < each.end + STABLE_MS for each in faults)
        return not is_hit and now - began >= STABLE_MS

    def _depart(self, endpoint, state):
        if endpoint not in self._written:
            return
        self._written[endpoint] = (state, self._written[endpoint][1])
        is_undisturbed = self._is_undisturbed()
        at = self._write(endpoint)
        departure = self._departures.get(endpoint)
        if departure is None or not departure.is_undisturbed:
            self._departures[endpoint] = _Departure(at, is_undisturbed)

    def _write(self, endpoint):
        state, born = self._written[endpoint]
        if state == "removed":
            return self.world.remove(endpoint)
        return self.world.register(endpoint, state, born)

    def _note(self, gateway, what):
        self.broken.setdefault(f"{gateway.name} {what}", self.world.time.at)


def new_site(world, endpoints=("e1", "e2", "e3"), settle_ms=5_000):
    """Return a site that has settled."""
    site = Site(world)
    site.configure()
    for endpoint in endpoints:
        site.join(endpoint)
    world.start(settle_ms)
    site.run(1_000)
    return site
