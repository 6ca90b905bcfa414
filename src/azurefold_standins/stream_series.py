"""Calls of a soak for streams whose endpoints go wrong, and restarts of these."""

import random
import signal
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from threading import Event

from azurefold_standins.bare_layout import EVENTS
from azurefold_standins.gateway_caller import Caller, StreamKind
from azurefold_standins.gateway_site import GatewaySite
from azurefold_standins.stream_endpoint import Conduct, Ending, Framing

__all__ = ["StreamSeries"]

_PAUSE_S = 0.03
_SOUND_SHARE = 0.6
_ENDINGS = {
    Ending.HALF: 4,
    Ending.CLOSED: 4,
    Ending.RESET: 4,
    Ending.ANEW: 2,
    Ending.AT: 2,
    Ending.FAILED: 2,
    Ending.JUNK: 2,
    Ending.JUNK_EVENTS: 2,
    Ending.ANSWERED_TWICE: 2,
    Ending.KILLED: 1,
    Ending.SILENT: 1,
    Ending.ENDLESS: 1,
    Ending.ENDLESS_HEAD: 1,
}
"""By how often they are drawn."""

_FAILURES = (304, 400, 413, 500)
_LOOK_S = 0.2
_SIGNALS = (signal.SIGKILL, signal.SIGTERM, signal.SIGSTOP)
_LONGEST_AWAY_S = 2.0


@dataclass(slots=True)
class StreamSeries:
    """Callers of streams, each of which knows what one run would send.

    Parameters
    ----------
    site : GatewaySite
    seed : int
    callers : list of Caller
    """

    site: GatewaySite
    seed: int
    callers: list[Caller] = field(default_factory=list)

    def call(
        self,
        number: int,
        stop: Event,
        calm: Event,
        choose_gateway: Callable[[random.Random], str],
    ) -> None:
        """Call until told to stop; endpoints are asked to behave once it is calm."""
        draw = random.Random(f"{self.seed} streams {number}")
        caller = Caller(f"s{number}-{draw.getrandbits(24):x}", draw)
        self.callers.append(caller)
        while not stop.is_set():
            kind = draw.choice(list(StreamKind))
            is_sound = calm.is_set() or draw.random() < _SOUND_SHARE
            first, resumed = (_conduct(draw, is_sound) for _ in range(2))
            gateway = choose_gateway(draw)
            prefix = f"/{kind.value}/{first}.{resumed}/"
            caller.call(kind, gateway, self.site.gateways[gateway], prefix)
            time.sleep(_PAUSE_S)

    def disturb_endpoints(self, stop: Event, calm: Event) -> None:
        """Signal endpoints now and then, and start those that have ended again."""
        draw = random.Random(f"{self.seed} endpoints")
        until = dict.fromkeys((each.name for each in self.site.streamers), 0.0)
        while not stop.is_set():
            now = time.monotonic()
            for endpoint in self.site.streamers:
                process = self.site.processes[endpoint.name]
                if now < until[endpoint.name] and not calm.is_set():
                    continue
                process.send(signal.SIGCONT)
                if not process.running:
                    self.site.start_streamer(endpoint)
                elif not calm.is_set() and draw.random() < 0.05:
                    process.send(draw.choice(_SIGNALS))
                    until[endpoint.name] = now + draw.uniform(0.1, _LONGEST_AWAY_S)
            time.sleep(_LOOK_S)


def _conduct(draw: random.Random, is_sound: bool) -> Conduct:
    framing = draw.choice(list(Framing))
    if is_sound:
        return Conduct(framing)
    [ending] = draw.choices(list(_ENDINGS), list(_ENDINGS.values()))
    if ending is Ending.FAILED:
        return Conduct(framing, ending, draw.choice(_FAILURES))
    if ending is Ending.CLOSED and framing is Framing.UNFRAMED:
        # By protocol this is how such an answer ends.
        ending = Ending.WHOLE
    return Conduct(framing, ending, draw.randrange(1, EVENTS))
