"""A simulated site of followers: platform, data centres, operators and partitions."""

from dataclasses import dataclass, field

from azurefold.core.configuration.acceptance import (
    Acceptance,
    Accepted,
    NotAccepted,
    OutcomeUnknown,
    Submit,
    WriteConflict,
    WriteNotApplied,
    WriteSucceeded,
)
from azurefold.core.configuration.follower import create_follower
from azurefold.core.configuration.head import NO_HEAD, Head, build_next_head
from azurefold.core.configuration.messages import (
    AnnouncementReceived,
    Apply,
    FetchFailed,
    FetchHead,
    FetchSections,
    HeadFetched,
    Peer,
    Platform,
    PlatformPolled,
    PollFailed,
    PollNow,
    SectionsFetched,
    Tick,
    WriteBack,
)
from azurefold.core.configuration.sections import content_hash

DATA_CENTRES = ("fukuoka-hall", "kumamoto-hall")
DATA_CENTRE_BY_PROCESS = {
    "f1": DATA_CENTRES[0],
    "f2": DATA_CENTRES[0],
    "f3": DATA_CENTRES[0],
    "k1": DATA_CENTRES[1],
    "k2": DATA_CENTRES[1],
}


@dataclass
class PlatformTable:
    head: Head = NO_HEAD
    version: int | None = None
    edit_id_by_revision: dict[int, str] = field(default_factory=dict)
    objects: dict[str, bytes] = field(default_factory=dict)
    last_version: int = 0

    def copy(self):
        return PlatformTable(
            self.head,
            self.version,
            dict(self.edit_id_by_revision),
            dict(self.objects),
            self.last_version,
        )

    def write(self, head, version):
        if version != self.version:
            return False
        self.last_version += 1
        self.head, self.version = head, self.last_version
        self.edit_id_by_revision[head.revision] = head.edit_id
        return True


@dataclass
class Operator:
    acceptance: Acceptance
    head: Head
    version: int | None
    outcome: object = None
    has_lost_answer: bool = False


class SimulatedSite:
    def __init__(self, make_follower=create_follower, make_acceptance=Acceptance):
        self.make_follower = make_follower
        self.make_acceptance = make_acceptance
        self.now = 0
        self.table = PlatformTable()
        self.backup = PlatformTable()
        self.is_platform_reachable = dict.fromkeys(DATA_CENTRES, True)
        self.is_linked = True
        self.should_corrupt_next = False
        self.followers = {
            name: make_follower(name, DATA_CENTRE_BY_PROCESS[name])
            for name in DATA_CENTRE_BY_PROCESS
        }
        self.applied = {name: [] for name in DATA_CENTRE_BY_PROCESS}
        self.operators = []
        self.late_writes = []
        self.accepted_heads = {}
        self.content_by_edit_id = {}

    # Operators

    def start_edit(self):
        number = len(self.operators) + 1
        content = f"content-{number}".encode()
        sections = {**self.table.head.sections, "service/a": content_hash(content)}
        head = build_next_head(self.table.head, f"edit-{number}", sections)
        self.content_by_edit_id[head.edit_id] = content
        acceptance = self.make_acceptance(head, self.now + 2_000)
        self.operators.append(Operator(acceptance, head, self.table.version))
        acceptance.start()

    def submit(self, operator, fault):
        result = self._write_with_fault(operator, fault)
        operator.has_lost_answer |= isinstance(result, OutcomeUnknown)
        self.now += 200
        step = operator.acceptance.handle(result, self.now)
        if not isinstance(step, Submit):
            operator.outcome = step

    def _write_with_fault(self, operator, fault):
        if fault == "unavailable":
            return WriteNotApplied("down")
        # Contents are stored before each attempt. A store restored since the
        # last one has lost them, and an accepted head would refer to contents
        # that nobody has.
        content = self.content_by_edit_id[operator.head.edit_id]
        self.table.objects[content_hash(content)] = content
        if fault == "late":
            self.late_writes.append((operator.head, operator.version))
            return OutcomeUnknown()
        is_written = self.write(operator.head, operator.version)
        if fault == "lost":
            return OutcomeUnknown()
        if is_written:
            return WriteSucceeded()
        current_edit_id = self.table.edit_id_by_revision.get(operator.head.revision, "")
        return WriteConflict(self.table.head.head_id, current_edit_id)

    def write(self, head, version):
        if not self.table.write(head, version):
            return False
        self.accepted_heads[head.edit_id] = head
        return True

    def apply_late_write(self):
        self.write(*self.late_writes.pop(0))

    # Processes

    def live_controls(self, name):
        return frozenset(
            process
            for process, data_centre in DATA_CENTRE_BY_PROCESS.items()
            if data_centre == DATA_CENTRE_BY_PROCESS[name]
        )

    def restart(self, name):
        self.followers[name] = self.make_follower(name, DATA_CENTRE_BY_PROCESS[name])
        self.applied[name] = []

    def tick(self, name, jitter):
        self._deliver(name, Tick(self.live_controls(name), jitter))

    def deliver_announcement(self, sender, receiver):
        if not self.can_reach(sender, receiver):
            return
        head_id = self.followers[sender].head.head_id
        age = self.followers[sender].age_ms(self.now)
        self._deliver(receiver, AnnouncementReceived(head_id, Peer(sender), age))

    def can_reach(self, sender, receiver):
        return (
            self.is_linked
            or DATA_CENTRE_BY_PROCESS[sender] == DATA_CENTRE_BY_PROCESS[receiver]
        )

    def _deliver(self, name, event):
        for action in self.followers[name].handle(event, self.now):
            for response in self._execute(name, action):
                self._deliver(name, response)

    def _execute(self, name, action):
        is_reachable = self.is_platform_reachable[DATA_CENTRE_BY_PROCESS[name]]
        match action:
            case Apply():
                self.applied[name].append(action)
            case WriteBack() if is_reachable:
                for data in action.sections.values():
                    self.table.objects[content_hash(data)] = data
                self.table.write(action.head, action.expected_version)
            case PollNow() if is_reachable:
                head_id = self.table.head.head_id if self.table.version else None
                yield PlatformPolled(head_id, self.table.version)
            case PollNow():
                yield PollFailed()
            case FetchHead(source=source):
                yield self._fetch_head(name, source)
            case FetchSections():
                yield self._fetch_sections(name, action)

    def _fetch_head(self, name, source):
        if isinstance(source, Platform):
            if self.is_platform_reachable[DATA_CENTRE_BY_PROCESS[name]]:
                return HeadFetched(self.table.head, source)
        elif self.can_reach(name, source.name):
            return HeadFetched(self.followers[source.name].head, source)
        return FetchFailed(source)

    def _fetch_sections(self, name, action):
        held = {}
        if isinstance(action.source, Platform):
            if self.is_platform_reachable[DATA_CENTRE_BY_PROCESS[name]]:
                held = self.table.objects
        elif self.can_reach(name, action.source.name):
            held = self.followers[action.source.name].get_contents(action.hashes)
        contents = {
            section_hash: held[section_hash]
            for section_hash in action.hashes
            if section_hash in held
        }
        if self.should_corrupt_next and contents:
            self.should_corrupt_next = False
            contents[next(iter(contents))] = b"damaged"
        return SectionsFetched(contents, action.source)

    # Invariants

    def check_applied(self):
        sections_by_edit = {}
        for name, actions in self.applied.items():
            revisions = [action.head.revision for action in actions]
            assert revisions == sorted(set(revisions)), f"{name} applied an older head"
            for action in actions:
                edit_id = action.head.edit_id
                assert edit_id in self.accepted_heads, "applied an unaccepted edit"
                content = self.content_by_edit_id[edit_id]
                assert action.sections["service/a"] == content, "applied wrong content"
                key = (action.head.revision, edit_id)
                is_same = (
                    sections_by_edit.setdefault(key, action.sections) == action.sections
                )
                assert is_same, "one edit has two contents"

    def check_outcomes(self):
        for operator in self.operators:
            edit_id = operator.head.edit_id
            match operator.outcome:
                case Accepted():
                    assert edit_id in self.accepted_heads, (
                        "reported accepted, but was not"
                    )
                case NotAccepted():
                    assert edit_id not in self.accepted_heads, (
                        "reported not accepted, but was"
                    )

    def check_forks_raise_alarms(self):
        for sender in DATA_CENTRE_BY_PROCESS:
            for receiver in DATA_CENTRE_BY_PROCESS:
                self.deliver_announcement(sender, receiver)
                receiver_head, sender_head = (
                    self.followers[receiver].head,
                    self.followers[sender].head,
                )
                if (
                    not self.can_reach(sender, receiver)
                    or receiver_head.revision != sender_head.revision
                ):
                    continue
                if receiver_head.edit_id != sender_head.edit_id:
                    assert self.followers[receiver].alarms, "no alarm for a fork"

    def check_convergence(self, limit_ms):
        """Link the data centres; all reachable processes must converge in time."""
        self.is_linked = True
        goal = max(follower.head.revision for follower in self.followers.values())
        if any(self.is_platform_reachable.values()):
            goal = max(goal, self.table.head.revision)
        end = self.now + limit_ms
        while self.now < end:
            self.now += 200
            for name in DATA_CENTRE_BY_PROCESS:
                self.tick(name, 0.5)
            for sender in DATA_CENTRE_BY_PROCESS:
                for receiver in DATA_CENTRE_BY_PROCESS:
                    self.deliver_announcement(sender, receiver)
        for name, follower in self.followers.items():
            assert follower.head.revision >= goal, f"{name} did not reach {goal}"
        if any(self.is_platform_reachable.values()) and not self.has_fork_alarm():
            assert self.table.head.revision >= goal, "the platform kept the old copy"

    def has_fork_alarm(self):
        alarms = [
            alarm for follower in self.followers.values() for alarm in follower.alarms
        ]
        return any(alarm.kind.name == "FORKED" for alarm in alarms)
