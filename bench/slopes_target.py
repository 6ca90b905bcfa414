"""The users' target and budgets, and what follows from them for one node."""

from dataclasses import dataclass

__all__ = [
    "BYTES_PER_S",
    "CPU_SHARE",
    "MEMORY_MB",
    "TABLE_READS_PER_S",
    "TABLE_WRITES_PER_S",
    "TARGET",
    "target_rows",
]

_SECONDS_A_DAY = 86_400
CPU_SHARE = 0.027
MEMORY_MB = 256.0
BYTES_PER_S = 2_000.0
"""What control may take of one node; bytes are counted both ways."""

TABLE_READS_PER_S = 2_000.0
TABLE_WRITES_PER_S = 300.0
"""What the platform's table bears: "about two thousand" and "several hundred"."""


@dataclass(frozen=True, slots=True)
class Target:
    """The users' target, and what follows from it for one node."""

    nodes: int = 390
    data_centres: int = 10
    regions: int = 4
    workers: int = 3_900
    requests_per_s: int = 5_200
    tokens_per_s: int = 1_300_000
    ranks: int = 32
    experts: int = 256
    organisations: int = 8_200
    models: int = 29
    changes_a_day: int = 12_000
    failures_a_day: int = 72
    replacements_a_day: int = 620
    between_tokens_s: float = 0.07

    @property
    def controls_near(self) -> int:
        """Other control processes of a data centre."""
        return self.nodes // self.data_centres - 1

    @property
    def controls_far(self) -> int:
        """Control processes of other data centres."""
        return self.nodes - self.nodes // self.data_centres

    @property
    def endpoints_near(self) -> int:
        """Endpoints of a data centre."""
        return self.workers // self.data_centres

    @property
    def groups(self) -> float:
        """Groups of ranks, if all workers are ranks."""
        return self.workers / self.ranks

    @property
    def starts_per_s(self) -> float:
        """VMs that start anew a second, after failures and replacements."""
        return (self.failures_a_day + self.replacements_a_day) / _SECONDS_A_DAY

    @property
    def changes_per_s(self) -> float:
        """Accepted changes a second."""
        return self.changes_a_day / _SECONDS_A_DAY

    @property
    def tokens_an_answer(self) -> float:
        """Tokens of a mean answer."""
        return self.tokens_per_s / self.requests_per_s

    @property
    def streams(self) -> float:
        """Answers in flight if each token takes as long as it may."""
        return self.tokens_per_s * self.between_tokens_s


TARGET = Target()


def target_rows() -> list[tuple[str, float, str]]:
    """Return the target, and what follows from it, as name, figure and unit."""
    t = TARGET
    return [
        ("entry VMs (nodes)", t.nodes, ""),
        ("data centres", t.data_centres, ""),
        ("regions", t.regions, ""),
        ("workers", t.workers, ""),
        ("requests", t.requests_per_s, "a second"),
        ("tokens", t.tokens_per_s, "a second"),
        ("ranks of a group", t.ranks, ""),
        ("experts of a layer", t.experts, ""),
        ("organisations", t.organisations, ""),
        ("models in steady use", t.models, ""),
        ("configuration changes", t.changes_a_day, "a day"),
        ("VM failures", t.failures_a_day, "a day"),
        ("VMs restarted or replaced", t.replacements_a_day, "a day"),
        ("control: CPU of a node", 100 * CPU_SHARE, "% of a core"),
        ("control: memory of a node", MEMORY_MB, "MB"),
        ("control: bytes of a node, sent and received", BYTES_PER_S, "B/s"),
        ("other controls in a data centre, worked out", t.controls_near, ""),
        ("endpoints of a data centre, worked out", t.endpoints_near, ""),
        ("groups, worked out, if all workers are ranks", t.groups, ""),
        ("changes, worked out", t.changes_per_s, "a second"),
        ("requests at an entry, worked out", t.requests_per_s / t.nodes, "a second"),
        ("tokens of an answer, worked out", t.tokens_an_answer, ""),
        ("answers in flight at an entry, worked out", t.streams / t.nodes, ""),
        ("answers in flight at an agent, worked out", t.streams / t.workers, ""),
    ]
