"""Which parts of prompts explain the crashes of endpoints.

The part under which most endpoints crashed explains those crashes, and only what it
leaves unexplained counts against others. Parts that cannot be told apart form a group,
in which a prompt is refused if it has more than half of the parts; with fewer it may be
sent as a trial, one at a time. Each trial either clears parts or at least halves the
group.
"""

from collections.abc import Mapping
from dataclasses import dataclass

from azurefold.core.attempts.crashes import Quarantine
from azurefold.core.attempts.part_suspects import PartPolicy, PartSuspect
from azurefold.core.attempts.part_trials import TrialOnly
from azurefold.core.clock import Millis

__all__ = ["SuspectGroup", "explain_crashes"]


@dataclass(frozen=True, slots=True)
class SuspectGroup:
    """Parts that explain the same crashes and cannot be told apart.

    Parameters
    ----------
    parts : frozenset of int
    crashes, last_crash_at : int
    quarantine : Quarantine or None
        None while the parts are only on trial.
    """

    parts: frozenset[int]
    crashes: int
    last_crash_at: Millis
    quarantine: Quarantine | None

    def judge(
        self, parts: frozenset[int], now: Millis
    ) -> Quarantine | TrialOnly | None:
        """Return the restriction on a prompt with ``parts``, if there is one."""
        common = len(self.parts & parts)
        if not common:
            return None
        is_likely = 2 * common > len(self.parts)
        is_quarantined = self.quarantine is not None and now < self.quarantine.until
        if is_likely and is_quarantined:
            return self.quarantine
        return TrialOnly(min(self.parts), self.crashes, self.last_crash_at)


def explain_crashes(
    suspects: Mapping[int, PartSuspect], policy: PartPolicy
) -> list[SuspectGroup]:
    """Explain the crashes by as few parts as possible, those with most first.

    Parameters
    ----------
    suspects : mapping of int to PartSuspect
        By the part's id.
    policy : PartPolicy
    """
    counted = {
        part: crashes
        for part, suspect in suspects.items()
        if len(crashes := suspect.find_counted()) >= policy.crash_threshold
    }
    groups = []
    explained: set[int] = set()
    for part in sorted(counted, key=lambda part: (-len(counted[part]), part)):
        crashes = counted[part]
        if len(crashes.keys() - explained) < policy.crash_threshold:
            continue
        groups.append(_build_group(crashes, counted, policy))
        explained |= crashes.keys()
    return groups


def _build_group(
    crashes: Mapping[int, Millis],
    suspects: Mapping[int, Mapping[int, Millis]],
    policy: PartPolicy,
) -> SuspectGroup:
    """Return the group of the suspects that may explain these crashes."""
    quarantine = _find_quarantine(sorted(crashes.values()), policy)
    # Before the suspects were held back, one crash may have had another cause.
    decided_at = quarantine.since if quarantine else 0
    by_chance = {mark for mark, at in crashes.items() if at < decided_at}

    def may_explain(others: Mapping) -> bool:
        missing = crashes.keys() - others.keys()
        is_within = others.keys() <= crashes.keys()
        return is_within and len(missing) <= 1 and missing <= by_chance

    parts = frozenset(part for part in suspects if may_explain(suspects[part]))
    return SuspectGroup(parts, len(crashes), max(crashes.values()), quarantine)


def _find_quarantine(times: list[Millis], policy: PartPolicy) -> Quarantine | None:
    """Return the quarantine that crashes at these times, in order, lead to."""
    deciding = [
        at
        for at in times[policy.crash_threshold - 1 :]
        if at - times[0] >= policy.separation
    ]
    if not deciding:
        return None
    since = deciding[0]
    first, *later = (*policy.durations, policy.retention)
    until = since + first
    for duration in later:
        failed_trial = next((at for at in deciding if at >= until), None)
        if failed_trial is None:
            break
        until = failed_trial + duration
    return Quarantine(len(times), since, until)
