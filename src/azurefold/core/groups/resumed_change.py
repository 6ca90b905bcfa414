"""Resumption of a change that another coordinator left unfinished."""

from azurefold.core.clock import Millis
from azurefold.core.groups.map_change import MapChange
from azurefold.core.groups.map_orders import ChangeAction, ChangePolicy, RankView

__all__ = ["can_resume", "resume_change"]


def can_resume(views: list[RankView]) -> bool:
    """Whether a change with a hold placed by another coordinator can be resumed now.

    If any rank is armed, it can. If none is, the hold can only be released, and only
    once the group waits at the held pass: the release then starts the pass, and ranks
    refuse to be armed for it. An earlier release is unsafe. The other coordinator may
    have been paused between its orders to hold and to arm. When it continues, it arms
    the ranks one after the other while nothing stops the group before that pass, and
    two ranks run the pass under two maps. Waiting costs nothing as long as the group
    has not reached the pass.

    Parameters
    ----------
    views : list of RankView
        Reports of all ranks of the group, in one epoch.
    """
    held_steps = [view.held_step for view in views if view.held_step is not None]
    if not held_steps:
        return False
    if any(view.armed_version is not None for view in views):
        return True
    return max(view.step for view in views) >= max(held_steps) - 1


def resume_change(
    views: list[RankView], policy: ChangePolicy, now: Millis
) -> tuple[MapChange, list[ChangeAction]] | None:
    """Resume a change that another coordinator left unfinished.

    Without this, the group starts no further pass after a coordinator died while the
    group was held: all ranks are up, but they produce no output.

    Parameters
    ----------
    views : list of RankView
        Reports of all ranks of the group, in one epoch.
    policy : ChangePolicy
        Timeouts and retry limits.
    now : int
        Current time, in milliseconds.

    Returns
    -------
    tuple or None
        The change and its first actions, None if no rank holds the group. The change
        arms all ranks if any rank is armed, else it only releases the hold.
    """
    holding_views = [view for view in views if view.held_step is not None]
    if not holding_views:
        return None
    step = max(view.held_step for view in holding_views)
    armed_versions = {
        view.armed_version for view in views if view.armed_version is not None
    }
    change = MapChange(
        max(armed_versions, default=0), views[0].epoch, len(views), policy
    )
    holding_ranks = [view.rank for view in holding_views]
    return change, change.resume(step, holding_ranks, now, arm=bool(armed_versions))
