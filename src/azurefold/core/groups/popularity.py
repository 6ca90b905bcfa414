"""Popularity of experts and pace of ranks, from the reports of all ranks."""

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
        Content of the map, by layer.
    tokens : tuple of tuple of int, shape (n_layers, n_experts)
        Number of tokens of this rank's requests that were routed to each expert.
    work : float
        Number of tokens processed by the experts on this rank.
    busy_us : int
        Computing time for these tokens in microseconds, without waits for other ranks.
    """

    map_id: str
    layers: tuple[Assignment, ...]
    tokens: tuple[tuple[int, ...], ...]
    work: float
    busy_us: int


@dataclass(frozen=True, slots=True)
class GroupPopularity:
    """Popularity by layer and pace by rank, from the reports of all ranks.

    Parameters
    ----------
    time_constant : int
        Time constant of the popularity, in milliseconds.
    reports : tuple of RankReport
        The last report of each rank; empty before the first.
    reported_at : int
        Time of the last reports, in milliseconds.
    layers : tuple of Popularity
        Popularity by layer; empty until two reports have been compared.
    paces : tuple of RankPace
        Pace of each rank.
    """

    time_constant: Millis
    reports: tuple[RankReport, ...] = ()
    reported_at: Millis = 0
    layers: tuple[Popularity, ...] = ()
    paces: tuple[RankPace, ...] = ()

    def with_reports(
        self, reports: tuple[RankReport, ...], now: Millis
    ) -> "GroupPopularity":
        """Return the state after a report of each rank.

        If the number of ranks, layers or experts differs from the last reports, the
        popularity and the paces are reset.
        """
        is_same_shape = _have_same_shape(self.reports, reports)
        elapsed = now - self.reported_at
        if not is_same_shape or elapsed <= 0:
            return GroupPopularity(
                self.time_constant, reports, now, paces=initial_paces(len(reports))
            )
        counts = _compute_token_growth(self.reports, reports)
        popularities = self.layers or tuple(
            new_popularity(len(layer_counts), self.time_constant)
            for layer_counts in counts
        )
        layers = tuple(
            update_popularity(popularity, layer_counts, elapsed, now)
            for popularity, layer_counts in zip(popularities, counts, strict=True)
        )
        work = _compute_counter_growth(
            [report.work for report in self.reports],
            [report.work for report in reports],
        )
        busy = _compute_counter_growth(
            [report.busy_us for report in self.reports],
            [report.busy_us for report in reports],
        )
        paces = update_paces(self.paces, work, busy, now)
        return GroupPopularity(self.time_constant, reports, now, layers, paces)

    @property
    def is_known(self) -> bool:
        """Whether views can be built: tokens were counted and one map is in use."""
        map_ids = {report.map_id for report in self.reports}
        return len(map_ids) == 1 and any(sum(layer.rates) > 0 for layer in self.layers)

    @property
    def map_id(self) -> str:
        """The map in use according to the last reports."""
        return self.reports[0].map_id

    def layer_views(self) -> tuple[LayerView, ...]:
        """Return the view of each layer that has tokens, for a balance decision."""
        assignments = self.reports[0].layers
        rank_speeds = planning_speeds(self.paces)
        pairs = zip(self.layers, assignments, strict=True)
        return tuple(
            LayerView(layer, popularity.rates, assignment, rank_speeds)
            for layer, (popularity, assignment) in enumerate(pairs)
            if sum(popularity.rates) > 0
        )

    def stragglers(self, now: Millis) -> tuple[Straggler, ...]:
        """Return the ranks that are slow regardless of their load."""
        return find_stragglers(self.paces, now)


def new_group_popularity(time_constant: Millis) -> GroupPopularity:
    """Return the initial state of a group without reports."""
    return GroupPopularity(time_constant)


def _have_same_shape(
    before: tuple[RankReport, ...], after: tuple[RankReport, ...]
) -> bool:
    def shape(reports):
        return [[len(layer) for layer in report.tokens] for report in reports]

    return bool(before) and shape(before) == shape(after)


def _compute_token_growth(
    before: tuple[RankReport, ...], after: tuple[RankReport, ...]
) -> list[list[int]]:
    """Return the tokens of all ranks since the last reports, by layer and expert."""
    counts = []
    for layer in range(len(after[0].tokens)):
        growth_by_rank = [
            _compute_counter_growth(old.tokens[layer], new.tokens[layer])
            for old, new in zip(before, after, strict=True)
        ]
        counts.append(
            [
                sum(expert_growths)
                for expert_growths in zip(*growth_by_rank, strict=True)
            ]
        )
    return counts


def _compute_counter_growth(before, after) -> list:
    """Return the growth of counters; one that decreased was reset to zero.

    Examples
    --------
    >>> _compute_counter_growth([5, 100], [7, 3])
    [2, 3]
    """
    pairs = zip(before, after, strict=True)
    return [new - old if new >= old else new for old, new in pairs]
