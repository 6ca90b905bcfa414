"""Trials of prompts with parts that may crash endpoints, over all nodes.

A trial that crashes an endpoint costs as much as any other crash, so few may be under
way at once, whichever nodes have such prompts.
"""

from collections import deque
from collections.abc import Collection
from dataclasses import dataclass

from azurefold.core.clock import Millis

__all__ = ["PartTrials", "TrialOnly", "TrialPolicy", "TrialRequest"]


@dataclass(frozen=True, slots=True)
class TrialPolicy:
    """How often trials are sent.

    Parameters
    ----------
    interval : int
        Milliseconds after a trial, in which no other of its group is sent; the time
        from a trial to its result is shorter.
    hearing_delay : int
        Milliseconds until other nodes have heard of a trial.
    max_groups : int
        Number of groups whose last trial is remembered.
    """

    interval: Millis = 1_000
    hearing_delay: Millis = 150
    max_groups: int = 512


@dataclass(frozen=True, slots=True)
class TrialOnly:
    """A prompt may only be sent as a trial, of which there is one at a time.

    Parameters
    ----------
    group : int
        Identifies the group of suspects that a trial is for.
    crashes : int
        Number of endpoint crashes that count against them.
    last_crash_at : int
    """

    group: int
    crashes: int
    last_crash_at: Millis


@dataclass(frozen=True, slots=True)
class TrialRequest:
    """A prompt that may only be sent as a trial, and the node that asks for it.

    Parameters
    ----------
    trial : TrialOnly
    now : int
    arrived : int
        When the prompt arrived.
    draw : float
        A number between 0 and 1, the same each time for this prompt.
    node : str
    nodes : collection of str
        Names of all nodes, ``node`` among them.
    shared_now : int or None
        Time in milliseconds on a clock that all nodes share; None if it is not known.
    """

    trial: TrialOnly
    now: Millis
    arrived: Millis
    draw: float
    node: str
    nodes: Collection[str]
    shared_now: Millis | None

    def is_in_turn(self, duration: Millis) -> bool:
        """Whether the present slot of the shared clock belongs to this node."""
        if self.shared_now is None:
            return False
        names = sorted(self.nodes)
        return names[self.shared_now // duration % len(names)] == self.node


class PartTrials:
    """Trials that this node has sent or heard of.

    Parameters
    ----------
    policy : TrialPolicy, optional
    """

    def __init__(self, policy: TrialPolicy | None = None) -> None:
        self._policy = policy or TrialPolicy()
        self._last: dict[int, Millis] = {}
        self._own: dict[int, Millis] = {}
        self._prompts: deque[Millis] = deque(maxlen=1_024)

    def may_try(self, request: TrialRequest) -> bool:
        """Whether a prompt may be sent as a trial now.

        Nobody sends one within ``interval`` after another of which it has heard.
        Prompts that waited are sent by one node at a time, as many nodes send what has
        waited at the same moment. Of those that have just arrived a share may be sent,
        so that few are on their way to endpoints before other nodes hear of the first.
        """
        policy = self._policy
        last = self._last.get(request.trial.group)
        if last is not None and request.now - last < policy.interval:
            return False
        if request.is_in_turn(policy.interval):
            return True
        is_counted = request.now - request.trial.last_crash_at >= policy.interval
        has_waited = request.now - request.arrived > policy.hearing_delay
        if has_waited or not is_counted:
            return False
        prompts = self._count_prompts(request.now) * len(request.nodes)
        unheard = prompts * policy.hearing_delay / policy.interval
        return request.draw * unheard < 1.0

    def record_sent(self, request: TrialRequest) -> None:
        """Record that a prompt is sent as a trial, for other nodes to hear of it."""
        self._own[request.trial.group] = request.now
        self.record(request.trial.group, request.now)

    def record(self, group: int, at: Millis) -> None:
        """Record a trial that this node or another one has sent."""
        self._last[group] = max(at, self._last.get(group, at))
        if len(self._last) > self._policy.max_groups:
            del self._last[min(self._last, key=self._last.get)]

    def record_prompt(self, now: Millis) -> None:
        """Record the arrival of a prompt that may only be sent as a trial."""
        self._prompts.append(now)

    def find_own(self, now: Millis) -> dict[int, Millis]:
        """Return when this node sent trials of which others may not have heard."""
        self._own = {
            group: at
            for group, at in self._own.items()
            if now - at < self._policy.interval
        }
        return self._own

    def has_sent_since(self, then: Millis) -> bool:
        """Whether this node sent a trial after ``then``."""
        return any(at > then for at in self._own.values())

    def _count_prompts(self, now: Millis) -> int:
        prompts = self._prompts
        while prompts and now - prompts[0] >= self._policy.interval:
            prompts.popleft()
        return max(1, len(prompts))
