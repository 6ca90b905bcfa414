"""Decide which moves pay: small improvements in place of full re-packs."""

from collections.abc import Sequence
from dataclasses import dataclass, field

from azurefold.core.balance.candidates import candidates
from azurefold.core.balance.moves import Move, apply_move, weight_loads
from azurefold.core.balance.policy import BalancePolicy, Split, move_factor
from azurefold.core.balance.proposal import (
    JudgedMove,
    LayerProposal,
    LayerView,
    Proposal,
    Reason,
)
from azurefold.core.balance.shares import RankLoads, assign, level, rank_loads_of
from azurefold.core.balance.straggler import Straggler
from azurefold.core.clock import Millis

__all__ = ["objective", "propose", "propose_layer"]

_TRIAL_SWEEPS = 6
_MAX_ROUNDS = 3


def objective(policy: BalancePolicy, excess: float, loads: int, factor: float) -> float:
    """Return the price of an excess kept and weight loads made; lower is better.

    Parameters
    ----------
    policy : BalancePolicy
        The weights.
    excess : float
        Excess of the slowest rank over the lower bound.
    loads : int
        Weights fetched from the store.
    factor : float
        By how much moves are dearer now.
    """
    return policy.price_of_excess * excess + _cost(policy, loads, factor)


def _cost(policy: BalancePolicy, loads: int, factor: float) -> float:
    # 0 * inf is not a number: what loads nothing costs nothing in any window.
    return policy.move_weight * loads * factor if loads else 0.0


def propose(
    views: Sequence[LayerView],
    policy: BalancePolicy,
    time_of_day: Millis,
    stragglers: tuple[Straggler, ...] = (),
) -> Proposal:
    """Decide on all layers of a group, the most skewed one first.

    Parameters
    ----------
    views : sequence of LayerView
        The layers; they share the limit of weight loads.
    policy : BalancePolicy
        What the service asks for.
    time_of_day : int
        Milliseconds since midnight, local to the service.
    stragglers : tuple of Straggler
        Ranks found slow, for the report; their speeds are in the views.
    """
    left = policy.max_loads
    decided: dict[int, LayerProposal] = {}
    for index in sorted(range(len(views)), key=lambda i: (-_excess(views[i]), i)):
        decided[index] = propose_layer(views[index], policy, time_of_day, left)
        left -= sum(weight_loads(judged.move) for judged in decided[index].taken)
    return Proposal(
        layers=tuple(decided[index] for index in range(len(views))),
        move_factor=move_factor(policy, time_of_day),
        loads_used=policy.max_loads - left,
        loads_allowed=policy.max_loads,
        stragglers=stragglers,
    )


def _excess(view: LayerView) -> float:
    return rank_loads_of(view.assignment, view.rates, view.speeds).excess


def propose_layer(
    view: LayerView, policy: BalancePolicy, time_of_day: Millis, loads_left: int
) -> LayerProposal:
    """Decide on one layer.

    Shares are split anew first, which fetches no weights. Then one move at a
    time is taken while the best one tried pays for itself.

    Parameters
    ----------
    view : LayerView
        The layer.
    policy : BalancePolicy
        What the service asks for.
    time_of_day : int
        Milliseconds since midnight, local to the service.
    loads_left : int
        Weight loads that may still be made in this interval.
    """
    state = rank_loads_of(view.assignment, view.rates, view.speeds)
    before = state.excess
    if before <= policy.tolerated_excess:
        return LayerProposal(view, view.assignment, before, before, before, (), ())
    _split(state, policy.split)
    shared = state.excess
    search = _Search(view, policy, move_factor(policy, time_of_day), loads_left, state)
    search.run()
    after = search.state.excess
    worth_a_map = before - shared > policy.reshare_gain or search.taken
    if not worth_a_map:
        assignment, after = view.assignment, before
    else:
        slots = view.assignment.placement.slots_per_rank
        assignment = assign(search.state, slots)
    return LayerProposal(
        view=view,
        assignment=assignment,
        excess_before=before,
        excess_shared=shared,
        excess_after=after,
        taken=tuple(search.taken),
        not_taken=tuple(search.not_taken),
    )


def _split(state: RankLoads, split: Split, max_sweeps: int | None = None) -> None:
    match split:
        case Split.LEVEL if max_sweeps is None:
            level(state)
        case Split.LEVEL:
            level(state, max_sweeps)
        case Split.EVEN:
            _split_evenly(state)


def _split_evenly(state: RankLoads) -> None:
    state.totals = [0.0] * len(state.totals)
    for expert, hosts in enumerate(state.hosts):
        part = state.loads[expert] / len(hosts)
        state.parts[expert] = [part] * len(hosts)
        for rank in hosts:
            state.totals[rank] += part


@dataclass(frozen=True, slots=True)
class _Trial:
    """A move, and the state that it leads to."""

    judged: JudgedMove
    state: RankLoads


@dataclass(slots=True)
class _Search:
    """The moves tried on one layer so far."""

    view: LayerView
    policy: BalancePolicy
    factor: float
    loads_left: int
    state: RankLoads
    taken: list[JudgedMove] = field(default_factory=list)
    not_taken: list[JudgedMove] = field(default_factory=list)

    def run(self) -> None:
        """Take the best move of each round until none pays."""
        for _ in range(_MAX_ROUNDS):
            if self.state.excess <= self.policy.tolerated_excess:
                return
            if not self._take_best():
                return

    def _take_best(self) -> bool:
        slots = self.view.assignment.placement.slots_per_rank
        moves = candidates(self.state, slots, self.policy.split)
        trials = [self._try(move) for move in moves]
        paying = [trial for trial in trials if trial.judged.reason is Reason.PAYS]
        best = max(paying, key=_surplus, default=None)
        for trial in trials:
            if trial is not best:
                self.not_taken.append(_second(trial.judged))
        if best is None:
            return False
        self.taken.append(best.judged)
        self.loads_left -= weight_loads(best.judged.move)
        self.state = best.state
        _split(self.state, self.policy.split)
        return True

    def _try(self, move: Move) -> _Trial:
        state = self.state.copy()
        apply_move(state, move)
        _split(state, self.policy.split, _TRIAL_SWEEPS)
        saved = self.state.excess - state.excess
        gain = self.policy.price_of_excess * saved
        cost = _cost(self.policy, weight_loads(move), self.factor)
        return _Trial(JudgedMove(move, gain, cost, self._judge(move, gain)), state)

    def _judge(self, move: Move, gain: float) -> Reason:
        loads = weight_loads(move)
        if gain <= 0:
            return Reason.NO_GAIN
        if gain <= _cost(self.policy, loads, 1.0):
            return Reason.GAIN_BELOW_COST
        if gain <= _cost(self.policy, loads, self.factor):
            return Reason.DEAR_WINDOW
        if loads > self.loads_left:
            return Reason.LOADS_SPENT
        return Reason.PAYS


def _surplus(trial: _Trial) -> float:
    return trial.judged.gain - trial.judged.cost


def _second(judged: JudgedMove) -> JudgedMove:
    if judged.reason is not Reason.PAYS:
        return judged
    return JudgedMove(judged.move, judged.gain, judged.cost, Reason.ANOTHER_FIRST)
