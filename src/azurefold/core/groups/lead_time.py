"""Lead time of a change, in steps between the current step and the closed one.

The close must reach every rank before that step starts, and the open must arrive
before the ranks reach it; otherwise the group waits. A lead that is too long only
delays the change, so the lead is estimated generously.
"""

from dataclasses import dataclass
from math import ceil

from azurefold.core.clock import Millis

__all__ = ["LeadTimePolicy", "StepTimeEstimate", "compute_lead_steps"]


@dataclass(frozen=True, slots=True)
class LeadTimePolicy:
    """Parameters from which the lead is computed.

    Parameters
    ----------
    round_trips : float, default=2.0
        Number of exchanges within the lead: the close with its replies, and the open
        until it reaches the engines. Half a round trip is added, because the reported
        step number is that old when the reply to the query arrives.
    latency_margin : float, default=1.5
        Factor on the slowest measured round trip, to cover the tail latency.
    default_step_time : float, default=5.0
        Milliseconds per step until two reports have been compared.
    max_steps : int, default=400
        Upper bound in steps, in case of a wrong measurement.
    """

    round_trips: float = 2.0
    latency_margin: float = 1.5
    default_step_time: float = 5.0
    max_steps: int = 400


def compute_lead_steps(
    policy: LeadTimePolicy, round_trip: Millis, step_time: float
) -> int:
    """Return the number of steps between the last reported step and the change.

    Parameters
    ----------
    policy : LeadTimePolicy
        Margins and upper bound.
    round_trip : int
        Round trip of the query to the slowest rank, in milliseconds.
    step_time : float
        Milliseconds per step.

    Examples
    --------
    >>> compute_lead_steps(LeadTimePolicy(), round_trip=3, step_time=5.0)
    4
    >>> compute_lead_steps(LeadTimePolicy(), round_trip=40, step_time=5.0)
    31
    """
    time_until_open = (
        policy.latency_margin * (policy.round_trips + 0.5) * max(1, round_trip)
    )
    return min(policy.max_steps, 1 + ceil(time_until_open / step_time))


MIN_STEPS_BETWEEN_REPORTS = 8
"""Minimum number of steps between two reports from which a step time is computed."""


@dataclass(frozen=True, slots=True)
class StepTimeEstimate:
    """Step time of the group, estimated from reports of its next step.

    Reports must be a minimum number of steps apart. Two reports shortly before and
    after the start of a step would make the steps look a hundred times too fast, and
    the change would be closed hundreds of steps ahead.

    Parameters
    ----------
    base_step : int
        Next step in the report from which the step time is measured; -1 before the
        first report.
    base_at : int
        Time at which that report arrived, in milliseconds.
    step_time : float or None
        Milliseconds per step; None until known.

    Examples
    --------
    >>> StepTimeEstimate().with_report(10, now=0).with_report(11, now=1).step_time
    >>> StepTimeEstimate().with_report(10, now=0).with_report(30, now=100).step_time
    5.0
    """

    base_step: int = -1
    base_at: Millis = 0
    step_time: float | None = None

    def with_report(self, step: int, now: Millis) -> "StepTimeEstimate":
        """Return the estimate after a report with next step ``step``.

        A group that has not advanced shows nothing about its step time, so the previous
        one is kept.
        """
        if self.base_step < 0 or step <= self.base_step:
            return StepTimeEstimate(step, now, self.step_time)
        if step - self.base_step < MIN_STEPS_BETWEEN_REPORTS or now <= self.base_at:
            return self
        return StepTimeEstimate(
            step, now, (now - self.base_at) / (step - self.base_step)
        )
