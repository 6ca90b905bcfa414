"""The users' target, and what each figure comes to there.

A figure is worked out as a line's value at the target, less its value where
nothing drives it, summed over what drives it and added to one base.
"""

from collections.abc import Mapping
from dataclasses import asdict, dataclass

from bench.slopes_changes import CONTROLS_MEASURED
from bench.slopes_fit import Fit, fit_from

__all__ = ["BUDGETS", "TARGET", "Row", "rows", "target_rows"]

_SECONDS_A_DAY = 86_400
_CPU_SHARE, _MEMORY_MB, _BYTES = 0.027, 256.0, 2_000.0

BUDGETS = {"of a core": _CPU_SHARE, "MB": _MEMORY_MB, "B/s": _BYTES}
"""What control may take of a node, by unit."""


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


@dataclass(frozen=True, slots=True)
class Row:
    """One figure at the target.

    Parameters
    ----------
    role, mechanism, unit : str
    worked_out : float
        For the target.
    budget : float or None
        None where the users name none.
    from_fits : tuple of str
        Names of the lines it is worked out from.
    """

    role: str
    mechanism: str
    unit: str
    worked_out: float
    budget: float | None
    from_fits: tuple[str, ...]

    @property
    def is_over(self) -> bool:
        """Whether it exceeds its budget."""
        return self.budget is not None and self.worked_out > self.budget

    def as_dict(self) -> dict:
        """Return plain values for JSON."""
        return asdict(self)


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
        ("control: CPU of a node", 100 * _CPU_SHARE, "% of a core"),
        ("control: memory of a node", _MEMORY_MB, "MB"),
        ("control: bytes of a node, sent and received", _BYTES, "B/s"),
        ("other controls in a data centre, worked out", t.controls_near, ""),
        ("endpoints of a data centre, worked out", t.endpoints_near, ""),
        ("groups, worked out, if all workers are ranks", t.groups, ""),
        ("changes, worked out", t.changes_per_s, "a second"),
        ("requests at an entry, worked out", t.requests_per_s / t.nodes, "a second"),
        ("tokens of an answer, worked out", t.tokens_an_answer, ""),
        ("answers in flight at an entry, worked out", t.streams / t.nodes, ""),
        ("answers in flight at an agent, worked out", t.streams / t.workers, ""),
    ]


def rows(raw: Mapping[str, dict]) -> list[Row]:
    """Return all figures at the target.

    Raises
    ------
    KeyError
        If a line that is needed was not measured.
    """
    lines = {name: fit_from(each) for name, each in raw.items()}
    return [*_control(lines), *_entry(lines), *_agent(lines), *_platform(lines)]


def _control(lines: Mapping[str, Fit]) -> list[Row]:
    t = TARGET
    near, far = "control.by_endpoints.", "control.by_far_controls."
    change, others = "changes.by_organisations.", "changes.by_data_centres."

    def far_share(figure: str) -> float:
        return lines[far + figure].slope * t.controls_far

    asking_cpu = lines[others + "core_share"].slope * (t.data_centres - 1)
    asking_bytes = lines[others + "bytes_per_s"].at(t.data_centres)
    change_cpu = _a_change(lines[change + "control_cpu_ms"]) / 1_000
    change_bytes = _follower_bytes(lines)
    rest_cpu = lines[near + "core_share"].at(t.endpoints_near)
    after_start = lines[near + "udp_bytes_per_s"].at(t.endpoints_near)
    membership = lines["core.membership.bytes_per_s"].at(t.endpoints_near)
    announce = lines[near + "announce_bytes_per_s"].at(t.endpoints_near)
    memory = (
        lines[near + "resident_mb"].at(t.endpoints_near)
        + far_share("resident_mb")
        + lines[change + "control_resident_mb"].slope * t.organisations
    )
    names = {
        "cpu": (near + "core_share",),
        "asking cpu": (others + "core_share",),
        "change cpu": (change + "control_cpu_ms",),
    }
    all_cpu = tuple(name for group in names.values() for name in group)
    all_bytes = (
        "core.membership.bytes_per_s",
        near + "announce_bytes_per_s",
        others + "bytes_per_s",
        change + "peer_bytes",
        change + "object_reads",
    )
    control = "control"
    return [
        Row(control, "membership and announcements at rest", "of a core", rest_cpu,
            _CPU_SHARE, names["cpu"]),
        Row(control, "asking other data centres for endpoints", "of a core",
            asking_cpu, _CPU_SHARE, names["asking cpu"]),
        Row(control, "following the configuration", "of a core", change_cpu,
            _CPU_SHARE, names["change cpu"]),
        Row(control, "all of these", "of a core", rest_cpu + asking_cpu + change_cpu,
            _CPU_SHARE, all_cpu),
        Row(control, "all", "MB", memory, _MEMORY_MB, (near + "resident_mb",
            far + "resident_mb", change + "control_resident_mb")),
        Row(control, "membership datagrams at rest", "B/s", membership, _BYTES,
            ("core.membership.bytes_per_s",)),
        Row(control, "announcements of the configuration", "B/s", announce, _BYTES,
            (near + "announce_bytes_per_s",)),
        Row(control, "all datagrams in the minute after a start", "B/s", after_start,
            _BYTES, (near + "udp_bytes_per_s",)),
        Row(control, "asking other data centres for endpoints", "B/s", asking_bytes,
            _BYTES, (others + "bytes_per_s",)),
        Row(control, "heads and sections between controls", "B/s", change_bytes,
            _BYTES, (change + "peer_bytes",)),
        Row(control, "all of these but the minute after a start", "B/s",
            membership + announce + asking_bytes + change_bytes, _BYTES, all_bytes),
        Row(control, "reading the platform, a chosen poller", "B/s",
            _poller_bytes(lines), _BYTES, (change + "platform_bytes",
            "changes.by_services.poller_bytes_per_s")),
        Row(control, "a change in force in one data centre", "s",
            lines[change + "in_force_s"].at(t.organisations), 5.0,
            (change + "in_force_s",)),
    ]  # fmt: skip


def _follower_bytes(lines: Mapping[str, Fit]) -> float:
    # Of the few controls measured a share reads the platform instead of a peer;
    # of the many of a data centre at the target next to none does.
    of_all = _a_change(lines["changes.by_organisations.peer_bytes"])
    reads = lines["changes.by_organisations.object_reads"].at(TARGET.organisations)
    return of_all / (1 - reads)


def _a_change(line: Fit) -> float:
    """Return what changes come to in a second."""
    return line.at(TARGET.organisations) * TARGET.changes_per_s


def _poller_bytes(lines: Mapping[str, Fit]) -> float:
    # Of the four controls measured two are pollers: each has twice the mean.
    looks = lines["changes.by_services.poller_bytes_per_s"].at(TARGET.models)
    change = 2 * _a_change(lines["changes.by_organisations.platform_bytes"])
    return looks + change


def _entry(lines: Mapping[str, Fit]) -> list[Row]:
    t = TARGET
    change, requests = "changes.by_organisations.", "requests."
    a_request = lines[requests + "by_tokens.entry_cpu_ms"].at(t.tokens_an_answer)
    watch_cpu = _a_change(lines[change + "entry_cpu_ms"]) / 1_000
    memory = (
        lines[requests + "by_streams.entry_resident_mb"].at(t.streams / t.nodes)
        + lines[requests + "by_organisations.entry_resident_mb"].slope * t.organisations
        + lines[change + "entry_resident_mb"].slope * t.organisations
    )
    entry = "entry"
    return [
        Row(entry, "requests and tokens", "of a core",
            a_request * t.requests_per_s / t.nodes / 1_000, 1.0,
            (requests + "by_tokens.entry_cpu_ms",)),
        Row(entry, "taking in changes of configuration", "of a core", watch_cpu,
            _CPU_SHARE, (change + "entry_cpu_ms",)),
        Row(entry, "sections from the control beside it", "B/s, not on the network",
            _a_change(lines[change + "watch_bytes"]), None, (change + "watch_bytes",)),
        Row(entry, "all", "MB", memory, None,
            (requests + "by_streams.entry_resident_mb",
             requests + "by_organisations.entry_resident_mb",
             change + "entry_resident_mb")),
        Row(entry, "page of metrics", "B a scrape",
            lines[requests + "by_organisations.metrics_page_bytes"].at(
                t.organisations), None,
            (requests + "by_organisations.metrics_page_bytes",)),
        Row(entry, "page of metrics", "ms a scrape",
            lines[requests + "by_organisations.metrics_page_cpu_ms"].at(
                t.organisations), 1_000 * t.between_tokens_s,
            (requests + "by_organisations.metrics_page_cpu_ms",)),
    ]  # fmt: skip


def _agent(lines: Mapping[str, Fit]) -> list[Row]:
    t = TARGET
    requests = "requests."
    a_request = lines[requests + "by_tokens.agent_cpu_ms"].at(t.tokens_an_answer)
    agent = "agent"
    return [
        Row(agent, "requests and tokens", "of a core",
            a_request * t.requests_per_s / t.workers / 1_000, 1.0,
            (requests + "by_tokens.agent_cpu_ms",)),
        Row(agent, "at rest", "of a core",
            lines[requests + "agent_at_rest.core_share"].at(t.controls_near + 1),
            _CPU_SHARE, (requests + "agent_at_rest.core_share",)),
        Row(agent, "all", "MB",
            lines[requests + "by_streams.agent_resident_mb"].at(
                t.streams / t.workers),
            _MEMORY_MB, (requests + "by_streams.agent_resident_mb",)),
        Row(agent, "messages of a map change", "messages a change",
            lines["core.maps.messages_a_change"].at(t.ranks), None,
            ("core.maps.messages_a_change",)),
        Row(agent, "a map of one layer", "B a layer",
            lines["core.maps.map_bytes"].at(t.experts), None,
            ("core.maps.map_bytes",)),
        Row("control", "deciding on one layer of a group", "ms a layer",
            lines["core.maps.decision_ms"].at(t.experts), 20.0,
            ("core.maps.decision_ms",)),
    ]  # fmt: skip


def _platform(lines: Mapping[str, Fit]) -> list[Row]:
    t = TARGET
    change, keyed = "changes.by_organisations.", "requests.by_keyed_requests."
    looks = lines["control.by_peers.data_centre_reads_per_s"]
    # Measured among four controls, where as in any data centre two are pollers.
    readers = CONTROLS_MEASURED * t.data_centres
    a_change = _a_change(lines[change + "table_reads"]) * readers
    objects = _a_change(lines[change + "object_reads"]) * readers
    platform = "platform"
    return [
        Row(platform, "looks at the mark, at rest", "reads/s",
            looks.at(t.controls_near) * t.data_centres, 2_000.0,
            ("control.by_peers.data_centre_reads_per_s",)),
        Row(platform, "reads after changes, table", "reads/s", a_change, 2_000.0,
            (change + "table_reads",)),
        Row(platform, "reads after changes, objects", "reads/s", objects, 2_000.0,
            (change + "object_reads",)),
        Row(platform, "leases of groups", "writes/s",
            lines["groups.at_rest.table_writes"].at(t.groups), 300.0,
            ("groups.at_rest.table_writes",)),
        Row(platform, "leases of groups", "reads/s",
            lines["groups.at_rest.table_reads"].at(t.groups), 2_000.0,
            ("groups.at_rest.table_reads",)),
        Row(platform, "claims, if each request has a key", "writes/s",
            lines[keyed + "table_writes"].slope * t.requests_per_s, 300.0,
            (keyed + "table_writes",)),
    ]  # fmt: skip
