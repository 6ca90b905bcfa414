"""What a coordinator may do with a change that another one has left behind."""

from azurefold.core.clock import Millis
from azurefold.core.groups.map_change import MapChange
from azurefold.core.groups.map_orders import ChangeAction, ChangePolicy, RankView

__all__ = ["can_resume", "resume_change"]


def can_resume(views: list[RankView]) -> bool:
    """Whether a hold that another coordinator placed may be taken up now.

    With no rank armed there is only a hold to release. What goes wrong if that is
    done while the pass is still ahead: the other coordinator stood still between
    the hold and its orders to arm, wakes, and arms the ranks one after the other
    while the group runs towards that pass with nothing to stop it; two ranks run
    the pass under two maps. Once the group waits for the pass, its release begins
    it, and ranks refuse to be armed for it. A group that is not there yet loses
    nothing by the wait.

    Parameters
    ----------
    views : list of RankView
        Of all ranks of the group, in one epoch.
    """
    held = [view.held for view in views if view.held is not None]
    if not held:
        return False
    if any(view.armed is not None for view in views):
        return True
    return max(view.step for view in views) >= max(held) - 1


def resume_change(
    views: list[RankView], policy: ChangePolicy, now: Millis
) -> tuple[MapChange, list[ChangeAction]] | None:
    """Take up what another coordinator has left behind.

    What goes wrong without: a coordinator dies while it holds the group, and no
    pass begins any more. Seen as a group that is whole and silent.

    Parameters
    ----------
    views : list of RankView
        Of all ranks of the group, in one epoch.
    policy : ChangePolicy
    now : int

    Returns
    -------
    tuple or None
        A change that is arming where any rank is armed, else one that only
        releases; None if no rank holds the group.
    """
    held = [view for view in views if view.held is not None]
    if not held:
        return None
    step = max(view.held for view in held)
    versions = {view.armed for view in views if view.armed is not None}
    change = MapChange(max(versions, default=0), views[0].epoch, len(views), policy)
    holding_ranks = [view.rank for view in held]
    return change, change.resume(step, holding_ranks, now, arm=bool(versions))
