"""A small world round followers: platform, data centres, operators, cuts."""

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

HALLS = ("fukuoka-hall", "kumamoto-hall")
NODES = {"f1": HALLS[0], "f2": HALLS[0], "f3": HALLS[0], "k1": HALLS[1], "k2": HALLS[1]}


@dataclass
class Table:
    head: Head = NO_HEAD
    version: int | None = None
    edits: dict[int, str] = field(default_factory=dict)
    objects: dict[str, bytes] = field(default_factory=dict)
    clock: int = 0

    def copy(self):
        return Table(
            self.head, self.version, dict(self.edits), dict(self.objects), self.clock
        )

    def write(self, head, version):
        if version != self.version:
            return False
        self.clock += 1
        self.head, self.version = head, self.clock
        self.edits[head.revision] = head.edit_id
        return True


@dataclass
class Operator:
    acceptance: Acceptance
    head: Head
    version: int | None
    outcome: object = None
    in_doubt: bool = False


class World:
    def __init__(self, make_follower=create_follower, make_acceptance=Acceptance):
        self.make_follower = make_follower
        self.make_acceptance = make_acceptance
        self.now = 0
        self.table = Table()
        self.saved = Table()
        self.sees_platform = dict.fromkeys(HALLS, True)
        self.linked = True
        self.corrupt_next = False
        self.followers = {name: make_follower(name, NODES[name]) for name in NODES}
        self.applied = {name: [] for name in NODES}
        self.operators = []
        self.late_writes = []
        self.took_effect = {}
        self.drafted = {}

    # Operators

    def begin_edit(self):
        number = len(self.operators) + 1
        content = f"content-{number}".encode()
        sections = {**self.table.head.sections, "service/a": content_hash(content)}
        head = build_next_head(self.table.head, f"edit-{number}", sections)
        self.drafted[head.edit_id] = content
        acceptance = self.make_acceptance(head, self.now + 2_000)
        self.operators.append(Operator(acceptance, head, self.table.version))
        acceptance.start()

    def submit(self, operator, fault):
        event = self._answer(operator, fault)
        operator.in_doubt |= isinstance(event, OutcomeUnknown)
        self.now += 200
        result = operator.acceptance.handle(event, self.now)
        if not isinstance(result, Submit):
            operator.outcome = result

    def _answer(self, operator, fault):
        if fault == "unavailable":
            return WriteNotApplied("down")
        # Contents are stored before each try: a store restored since the last
        # one has lost them, and an accepted head would name what nobody has.
        content = self.drafted[operator.head.edit_id]
        self.table.objects[content_hash(content)] = content
        if fault == "late":
            self.late_writes.append((operator.head, operator.version))
            return OutcomeUnknown()
        took_effect = self.write(operator.head, operator.version)
        if fault == "lost":
            return OutcomeUnknown()
        if took_effect:
            return WriteSucceeded()
        holder = self.table.edits.get(operator.head.revision, "")
        return WriteConflict(self.table.head.head_id, holder)

    def write(self, head, version):
        if not self.table.write(head, version):
            return False
        self.took_effect[head.edit_id] = head
        return True

    def land_late_write(self):
        self.write(*self.late_writes.pop(0))

    # Processes

    def live(self, name):
        return frozenset(n for n, hall in NODES.items() if hall == NODES[name])

    def restart(self, name):
        self.followers[name] = self.make_follower(name, NODES[name])
        self.applied[name] = []

    def tick(self, name, jitter):
        self._feed(name, Tick(self.live(name), jitter))

    def gossip(self, sender, hearer):
        if not self.can_talk(sender, hearer):
            return
        head_id = self.followers[sender].head.head_id
        age = self.followers[sender].age_ms(self.now)
        self._feed(hearer, AnnouncementReceived(head_id, Peer(sender), age))

    def can_talk(self, one, other):
        return self.linked or NODES[one] == NODES[other]

    def _feed(self, name, event):
        for action in self.followers[name].handle(event, self.now):
            for answer in self._carry_out(name, action):
                self._feed(name, answer)

    def _carry_out(self, name, action):
        platform = self.sees_platform[NODES[name]]
        match action:
            case Apply():
                self.applied[name].append(action)
            case WriteBack() if platform:
                for data in action.sections.values():
                    self.table.objects[content_hash(data)] = data
                self.table.write(action.head, action.expected_version)
            case PollNow() if platform:
                head_id = self.table.head.head_id if self.table.version else None
                yield PlatformPolled(head_id, self.table.version)
            case PollNow():
                yield PollFailed()
            case FetchHead(source=source):
                yield self._fetched_head(name, source)
            case FetchSections():
                yield self._fetched_sections(name, action)

    def _fetched_head(self, name, source):
        if isinstance(source, Platform):
            if self.sees_platform[NODES[name]]:
                return HeadFetched(self.table.head, source)
        elif self.can_talk(name, source.name):
            return HeadFetched(self.followers[source.name].head, source)
        return FetchFailed(source)

    def _fetched_sections(self, name, action):
        held = {}
        if isinstance(action.source, Platform):
            if self.sees_platform[NODES[name]]:
                held = self.table.objects
        elif self.can_talk(name, action.source.name):
            held = self.followers[action.source.name].get_contents(action.hashes)
        contents = {each: held[each] for each in action.hashes if each in held}
        if self.corrupt_next and contents:
            self.corrupt_next = False
            contents[next(iter(contents))] = b"damaged"
        return SectionsFetched(contents, action.source)

    # What must always hold

    def check_applied(self):
        meaning = {}
        for name, actions in self.applied.items():
            revisions = [each.head.revision for each in actions]
            assert revisions == sorted(set(revisions)), f"{name} went back"
            for each in actions:
                edit_id = each.head.edit_id
                assert edit_id in self.took_effect, "applied what nobody accepted"
                drafted = self.drafted[edit_id]
                assert each.sections["service/a"] == drafted, "applied other content"
                key = (each.head.revision, edit_id)
                same = meaning.setdefault(key, each.sections) == each.sections
                assert same, "two contents under one edit"

    def check_outcomes(self):
        for operator in self.operators:
            edit_id = operator.head.edit_id
            match operator.outcome:
                case Accepted():
                    assert edit_id in self.took_effect, "told accepted, was not"
                case NotAccepted():
                    assert edit_id not in self.took_effect, "told not, but was"

    def check_forks_are_alarmed(self):
        for one in NODES:
            for other in NODES:
                self.gossip(one, other)
                mine, theirs = self.followers[other].head, self.followers[one].head
                if not self.can_talk(one, other) or mine.revision != theirs.revision:
                    continue
                if mine.edit_id != theirs.edit_id:
                    assert self.followers[other].alarms, "a fork without an alarm"

    def check_in_force_within(self, limit_ms):
        """Link the data centres; whoever has a path must follow in time."""
        self.linked = True
        goal = max(each.head.revision for each in self.followers.values())
        if any(self.sees_platform.values()):
            goal = max(goal, self.table.head.revision)
        end = self.now + limit_ms
        while self.now < end:
            self.now += 200
            for name in NODES:
                self.tick(name, 0.5)
            for one in NODES:
                for other in NODES:
                    self.gossip(one, other)
        for name, each in self.followers.items():
            assert each.head.revision >= goal, f"{name} did not follow to {goal}"
        if any(self.sees_platform.values()) and not self.alarmed_of_fork():
            assert self.table.head.revision >= goal, "the old copy stayed in place"

    def alarmed_of_fork(self):
        alarms = [a for each in self.followers.values() for a in each.alarms]
        return any(alarm.kind.name == "FORKED" for alarm in alarms)
