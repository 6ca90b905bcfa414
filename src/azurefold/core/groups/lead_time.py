"""How far ahead of the present step a change is closed.

The close must reach every rank before the step begins, and the open must follow
before the ranks get there; otherwise the group waits. Too far ahead costs only a
later change, so the lead errs on that side.
"""

from dataclasses import dataclass
from math import ceil

from azurefold.core.clock import Millis

__all__ = ["LeadTimePolicy", "StepTimeEstimate", "lead_steps"]


@dataclass(frozen=True, slots=True)
class LeadTimePolicy:
    """How the lead follows from what was measured.

    Parameters
    ----------
    round_trips : float, default=2.0
        Exchanges that must fit: the close with its replies and the open with
        its way to the engines; the query before them is half over when the
        step number that it brings is read.
    latency_margin : float, default=1.5
        Factor on the slowest round trip measured, for the tail of the latency.
    default_step_time : float, default=5.0
        Milliseconds a step, until two reports have been compared.
    max_steps : int, default=400
        Steps; an upper bound if a measurement went astray.
    """

    round_trips: float = 2.0
    latency_margin: float = 1.5
    default_step_time: float = 5.0
    max_steps: int = 400


def lead_steps(policy: LeadTimePolicy, round_trip: Millis, step_time: float) -> int:
    """Return the number of steps between the last one reported and the change.

    Parameters
    ----------
    policy : LeadTimePolicy
        Margins.
    round_trip : int
        The slowest rank's query and reply, in milliseconds.
    step_time : float
        Milliseconds a step.

    Examples
    --------
    >>> lead_steps(LeadTimePolicy(), round_trip=3, step_time=5.0)
    4
    >>> lead_steps(LeadTimePolicy(), round_trip=40, step_time=5.0)
    31
    """
    until_open = policy.latency_margin * (policy.round_trips + 0.5) * max(1, round_trip)
    return min(policy.max_steps, 1 + ceil(until_open / step_time))


MIN_STEPS_BETWEEN_REPORTS = 8
"""Steps between two reports for a pace to be read off them."""


@dataclass(frozen=True, slots=True)
class StepTimeEstimate:
    """The group's pace from reports of its step.

    What would go wrong with reports close together: two of them straddle the
    begin of a step, the pace looks a hundred times too fast, and the change is
    closed hundreds of steps ahead. Hence the least distance.

    Parameters
    ----------
    step, at : int
        The report measured from and when it came, in milliseconds; -1 before
        the first.
    step_time : float or None
        Milliseconds a step, None until known.

    Examples
    --------
    >>> StepTimeEstimate().with_report(10, now=0).with_report(11, now=1).step_time
    >>> StepTimeEstimate().with_report(10, now=0).with_report(30, now=100).step_time
    5.0
    """

    step: int = -1
    at: Millis = 0
    step_time: float | None = None

    def with_report(self, step: int, now: Millis) -> "StepTimeEstimate":
        """Return the estimate after a report that ``step`` is next.

        A group that stood still tells nothing about its pace.
        """
        if self.step < 0 or step <= self.step:
            return StepTimeEstimate(step, now, self.step_time)
        if step - self.step < MIN_STEPS_BETWEEN_REPORTS or now <= self.at:
            return self
        return StepTimeEstimate(step, now, (now - self.at) / (step - self.step))
