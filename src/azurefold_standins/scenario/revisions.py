"""Notes which revision each process holds, again and again."""

import threading
from dataclasses import dataclass, field

from azurefold_standins.operator import status
from azurefold_standins.scenario.world import World

__all__ = ["RevisionWatch"]

_PAUSE_S = 0.2


@dataclass(slots=True)
class RevisionWatch:
    """Watches all controls and entries of a site from a thread of its own."""

    world: World
    steps_back: list[str] = field(default_factory=list)
    looks: int = 0
    _held: dict[tuple[str, int], int] = field(default_factory=dict)
    _ended: threading.Event = field(default_factory=threading.Event)
    _thread: threading.Thread | None = None

    def start(self) -> None:
        """Begin to watch."""
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def stop(self) -> None:
        """Watch no longer."""
        self._ended.set()
        self._thread.join()

    def check(self) -> None:
        """Fail if any life of a process showed a lower revision than before."""
        assert self.looks, "nobody looked"
        assert not self.steps_back, f"revisions went back: {self.steps_back}"

    def _run(self) -> None:
        # The first look comes before any step that follows, and the last one
        # after all of them. A scenario that is over within a pause would else
        # have been looked at by nobody.
        self._look_at_all()
        while not self._ended.wait(_PAUSE_S):
            self._look_at_all()
        self._look_at_all()

    def _look_at_all(self) -> None:
        site = self.world.site
        for name in (*site.controls, *site.entries):
            if self.world.is_running(name):
                self._look(name, site.processes[name].pid)
        self.looks += 1

    def _look(self, name: str, pid: int) -> None:
        revision = status(self.world.site, name).get("revision")
        if revision is None or self.world.site.processes[name].pid != pid:
            return
        held = self._held.get((name, pid), 0)
        if revision < held:
            self.steps_back.append(f"{name} from {held} to {revision}")
        self._held[name, pid] = max(held, revision)
