"""What the ranks report of their experts, as input to the balance decision."""

from dataclasses import dataclass

from azurefold.core.balance.placement import Assignment
from azurefold.core.balance.popularity import (
    Popularity,
    new_popularity,
    update_popularity,
)
from azurefold.core.balance.proposal import LayerView
from azurefold.core.balance.straggler import (
    RankPace,
    Straggler,
    find_stragglers,
    initial_paces,
    planning_speeds,
    update_paces,
)
from azurefold.core.clock import Millis

__all__ = ["GroupPopularity", "RankReport", "new_group_popularity"]


@dataclass(frozen=True, slots=True)
class RankReport:
    """Counts of one rank since its engine started.

    Parameters
    ----------
    map_id : str
        The map in use.
    layers : tuple of Assignment
        Its content.
    tokens : tuple of tuple of int, shape (n_layers, n_experts)
        Tokens of this rank's requests that chose each expert.
    work : float
        Tokens worked on by the experts that this rank holds.
    busy_us : int
        Time it computed for them, without waits for other ranks.
    """

    map_id: str
    layers: tuple[Assignment, ...]
    tokens: tuple[tuple[int, ...], ...]
    work: float
    busy_us: int


@dataclass(frozen=True, slots=True)
class GroupPopularity:
    """Popularity by layer and pace by rank, from reports of all ranks.

    Parameters
    ----------
    time_constant : int
        Time constant of the popularity, in milliseconds.
    reports : tuple of RankReport
        The last ones; empty before the first.
    reported_at : int
        When they came, in milliseconds.
    layers : tuple of Popularity
        Empty until two reports have been compared.
    paces : tuple of RankPace
        One for each rank.
    """

    time_constant: Millis
    reports: tuple[RankReport, ...] = ()
    reported_at: Millis = 0
    layers: tuple[Popularity, ...] = ()
    paces: tuple[RankPace, ...] = ()

    def with_reports(
        self, reports: tuple[RankReport, ...], now: Millis
    ) -> "GroupPopularity":
        """Return the state after each rank has reported.

        Reports that do not fit the last ones, of engines with other layers or
        another number of ranks, begin anew.
        """
        begun = _same_shape(self.reports, reports)
        span = now - self.reported_at
        if not begun or span <= 0:
            return GroupPopularity(
                self.time_constant, reports, now, paces=initial_paces(len(reports))
            )
        counts = _group_counts(self.reports, reports)
        known = self.layers or tuple(
            new_popularity(len(layer), self.time_constant) for layer in counts
        )
        layers = tuple(
            update_popularity(popularity, layer, span, now)
            for popularity, layer in zip(known, counts, strict=True)
        )
        work = _grown([r.work for r in self.reports], [r.work for r in reports])
        busy = _grown([r.busy_us for r in self.reports], [r.busy_us for r in reports])
        paces = update_paces(self.paces, work, busy, now)
        return GroupPopularity(self.time_constant, reports, now, layers, paces)

    @property
    def is_known(self) -> bool:
        """Whether a decision can rest on it: tokens came, and one map is in use."""
        maps = {report.map_id for report in self.reports}
        return len(maps) == 1 and any(sum(layer.rates) > 0 for layer in self.layers)

    @property
    def map_id(self) -> str:
        """The map that the ranks last said they use."""
        return self.reports[0].map_id

    def layer_views(self) -> tuple[LayerView, ...]:
        """Return the layers for the decision, those without tokens left out."""
        assignments = self.reports[0].layers
        rank_speeds = planning_speeds(self.paces)
        pairs = zip(self.layers, assignments, strict=True)
        return tuple(
            LayerView(number, popularity.rates, assignment, rank_speeds)
            for number, (popularity, assignment) in enumerate(pairs)
            if sum(popularity.rates) > 0
        )

    def stragglers(self, now: Millis) -> tuple[Straggler, ...]:
        """Return the ranks that are slow as such."""
        return find_stragglers(self.paces, now)


def new_group_popularity(time_constant: Millis) -> GroupPopularity:
    """Return the popularity of a group that has not reported yet."""
    return GroupPopularity(time_constant)


def _same_shape(before: tuple[RankReport, ...], after: tuple[RankReport, ...]) -> bool:
    def shape(reports):
        return [[len(layer) for layer in report.tokens] for report in reports]

    return bool(before) and shape(before) == shape(after)


def _group_counts(
    before: tuple[RankReport, ...], after: tuple[RankReport, ...]
) -> list[list[int]]:
    """Return the tokens of all ranks since the last reports, by layer and expert."""
    counts = []
    for layer in range(len(after[0].tokens)):
        grown = [
            _grown(old.tokens[layer], new.tokens[layer])
            for old, new in zip(before, after, strict=True)
        ]
        counts.append([sum(of_expert) for of_expert in zip(*grown, strict=True)])
    return counts


def _grown(before, after) -> list:
    """Return by how much counts have grown; those that fell began again at zero.

    Examples
    --------
    >>> _grown([5, 100], [7, 3])
    [2, 3]
    """
    pairs = zip(before, after, strict=True)
    return [new - old if new >= old else new for old, new in pairs]
