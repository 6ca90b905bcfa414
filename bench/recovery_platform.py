"""A platform that answers a limited number of reads a second, in virtual time.

A read is one request for rows (mark or head) or one object.
"""

from collections import Counter
from dataclasses import dataclass, field

from azurefold.core.clock import SECOND, Millis
from azurefold.core.configuration.head import NO_HEAD, Head, build_next_head
from azurefold.core.configuration.sections import content_hash

READ_LATENCY: Millis = 5
READS_PER_SECOND = 2_000
LONGEST_QUEUE: Millis = 500


@dataclass(slots=True)
class TablePlatform:
    """The platform's table and objects, with a limit to its reads.

    Parameters
    ----------
    limit : int or None
        Reads a second that it can answer; None for as many as are asked.
    longest_queue : int
        Milliseconds of work beyond which it refuses at once.
    """

    limit: int | None = READS_PER_SECOND
    longest_queue: Millis = LONGEST_QUEUE
    up: bool = True
    head: Head = NO_HEAD
    objects: dict[str, bytes] = field(default_factory=dict)
    asked: Counter[int] = field(default_factory=Counter)
    _free_at: float = 0.0

    def edit(self, number: int, n_sections: int) -> None:
        """Accept an edit that changes one section; the first makes them all."""
        sections = dict(self.head.sections)
        for section in range(n_sections) if not sections else [number % n_sections]:
            data = b"%d of edit %d" % (section, number)
            sections[f"service/{section}"] = content_hash(data)
            self.objects[content_hash(data)] = data
        self.head = build_next_head(self.head, f"edit-{number}", sections)

    def answer_at(self, now: Millis) -> Millis | None:
        """Count a read; return when its answer comes, None if it never does."""
        self.asked[now // SECOND] += 1
        if not self.up:
            return None
        if self.limit is None:
            return now + READ_LATENCY
        if self._free_at - now > self.longest_queue:
            return None
        self._free_at = max(self._free_at, now) + SECOND / self.limit
        return int(self._free_at) + READ_LATENCY
