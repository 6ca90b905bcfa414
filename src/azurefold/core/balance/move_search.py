"""Finds single moves that are worth their cost, instead of re-packing a layer."""

import math
from collections.abc import Sequence
from dataclasses import dataclass, field, replace

from azurefold.core.balance.candidates import count_slowest_ranks, find_candidate_moves
from azurefold.core.balance.moves import Move, apply_move, count_weight_loads
from azurefold.core.balance.policy import BalancePolicy, ReplicaSplit, move_factor
from azurefold.core.balance.proposal import (
    EvaluatedMove,
    LayerProposal,
    LayerView,
    MoveReason,
    Proposal,
)
from azurefold.core.balance.shares import (
    LayerLoads,
    balance_replica_loads,
    build_assignment,
    build_layer_loads,
)
from azurefold.core.balance.straggler import Straggler
from azurefold.core.clock import Millis

__all__ = ["compute_cost", "propose_layer", "propose_rebalance"]

_MAX_SWEEPS_PER_TRIAL = 6
"""Sweeps over the replicas' shares in the trial of a move."""

_MAX_ROUNDS = 3
"""Rounds per layer; each accepts one move, or two moves that pay only together."""

_MAX_TRIALS_PER_LAYER = 10


def compute_cost(
    policy: BalancePolicy, excess: float, weight_loads: int, move_cost_factor: float
) -> float:
    """Return the cost of the remaining excess and of the weight loads together.

    Parameters
    ----------
    policy : BalancePolicy
        Weights of excess and moves.
    excess : float
        Excess of the slowest rank over the lower bound.
    weight_loads : int
        Experts whose weights are fetched from the store.
    move_cost_factor : float
        Multiplier for the cost of moves.
    """
    return policy.excess_cost * excess + _compute_move_cost(
        policy, weight_loads, move_cost_factor
    )


def _compute_move_cost(
    policy: BalancePolicy, weight_loads: int, move_cost_factor: float
) -> float:
    # 0 * inf is NaN. Moves that load no weights are free, whatever the factor is.
    return policy.move_weight * weight_loads * move_cost_factor if weight_loads else 0.0


def propose_rebalance(
    views: Sequence[LayerView],
    policy: BalancePolicy,
    time_of_day: Millis,
    stragglers: tuple[Straggler, ...] = (),
) -> Proposal:
    """Decide on all layers of a group, the most skewed one first.

    Parameters
    ----------
    views : sequence of LayerView
        State of the layers; they share the limit on weight loads.
    policy : BalancePolicy
        Weights and limits of the service.
    time_of_day : int
        Milliseconds since midnight in the service's local time.
    stragglers : tuple of Straggler
        Slow ranks, copied to the proposal. Their speeds are part of the views.
    """
    weight_loads_left = policy.max_weight_loads
    proposals: dict[int, LayerProposal] = {}
    for index in sorted(
        range(len(views)), key=lambda i: (-_compute_excess(views[i]), i)
    ):
        proposals[index] = propose_layer(
            views[index], policy, time_of_day, weight_loads_left
        )
        weight_loads_left -= sum(
            count_weight_loads(evaluated.move)
            for evaluated in proposals[index].accepted
        )
    return Proposal(
        layers=tuple(proposals[index] for index in range(len(views))),
        move_factor=move_factor(policy, time_of_day),
        weight_loads_used=policy.max_weight_loads - weight_loads_left,
        weight_loads_allowed=policy.max_weight_loads,
        stragglers=stragglers,
    )


def _compute_excess(view: LayerView) -> float:
    return build_layer_loads(view.assignment, view.rates, view.speeds).excess


def propose_layer(
    view: LayerView, policy: BalancePolicy, time_of_day: Millis, weight_loads_left: int
) -> LayerProposal:
    """Decide on one layer.

    The shares are recomputed first, because that fetches no weights. Then moves are
    accepted, the best of each round first, while their gain exceeds their cost.

    Parameters
    ----------
    view : LayerView
        State of the layer.
    policy : BalancePolicy
        Weights and limits of the service.
    time_of_day : int
        Milliseconds since midnight in the service's local time.
    weight_loads_left : int
        Weight loads that remain in this interval.
    """
    state = build_layer_loads(view.assignment, view.rates, view.speeds)
    excess_before = state.excess
    if excess_before <= policy.tolerated_excess:
        return LayerProposal(
            view, view.assignment, excess_before, excess_before, excess_before, (), ()
        )
    _split_loads(state, policy.split)
    excess_after_resharing = state.excess
    search = _MoveSearch(
        view, policy, move_factor(policy, time_of_day), weight_loads_left, state
    )
    search.run()
    excess_after = search.state.excess
    needs_new_map = (
        excess_before - excess_after_resharing > policy.min_reshare_gain
        or search.accepted
    )
    if not needs_new_map:
        assignment, excess_after = view.assignment, excess_before
    else:
        slots_per_rank = view.assignment.placement.slots_per_rank
        assignment = build_assignment(search.state, slots_per_rank)
    return LayerProposal(
        view=view,
        assignment=assignment,
        excess_before=excess_before,
        excess_after_resharing=excess_after_resharing,
        excess_after=excess_after,
        accepted=tuple(search.accepted),
        rejected=search.last_rejections,
    )


def _split_loads(
    state: LayerLoads, split: ReplicaSplit, max_sweeps: int | None = None
) -> None:
    match split:
        case ReplicaSplit.LEVEL if max_sweeps is None:
            balance_replica_loads(state)
        case ReplicaSplit.LEVEL:
            balance_replica_loads(state, max_sweeps)
        case ReplicaSplit.EVEN:
            _split_loads_evenly(state)


def _split_loads_evenly(state: LayerLoads) -> None:
    state.rank_loads = [0.0] * len(state.rank_loads)
    for expert, hosts in enumerate(state.hosts):
        load = state.expert_loads[expert] / len(hosts)
        state.replica_loads[expert] = [load] * len(hosts)
        for rank in hosts:
            state.rank_loads[rank] += load


@dataclass(frozen=True, slots=True)
class _Trial:
    """An evaluated move and the state that results from it."""

    evaluated: EvaluatedMove
    state: LayerLoads


@dataclass(slots=True)
class _MoveSearch:
    """The state of the search for moves in one layer."""

    view: LayerView
    policy: BalancePolicy
    move_cost_factor: float
    weight_loads_left: int
    state: LayerLoads
    accepted: list[EvaluatedMove] = field(default_factory=list)
    rejected: list[EvaluatedMove] = field(default_factory=list)
    trial_count: int = 0

    @property
    def last_rejections(self) -> tuple[EvaluatedMove, ...]:
        """The last evaluation of each move that was tried but never accepted."""
        last = {evaluated.move: evaluated for evaluated in self.rejected}
        accepted = {evaluated.move for evaluated in self.accepted}
        return tuple(
            evaluated for move, evaluated in last.items() if move not in accepted
        )

    def run(self) -> None:
        """Accept the best move of each round until no move is worth its cost."""
        for _ in range(_MAX_ROUNDS):
            if self.state.excess <= self.policy.tolerated_excess:
                return
            if not self._accept_best():
                return

    def _accept_best(self) -> bool:
        trials = self._try_candidates(self.state)
        profitable = [
            trial
            for trial in trials
            if trial.evaluated.reason is MoveReason.GAIN_ABOVE_COST
        ]
        best = max(profitable, key=_net_gain, default=None)
        accepted = [best] if best else self._find_profitable_pair(trials)
        self.rejected += [
            _mark_outperformed(trial.evaluated)
            for trial in trials
            if trial not in accepted
        ]
        if not accepted:
            return False
        self.accepted += [trial.evaluated for trial in accepted]
        self.weight_loads_left -= sum(
            count_weight_loads(trial.evaluated.move) for trial in accepted
        )
        self.state = accepted[-1].state
        _split_loads(self.state, self.policy.split)
        return True

    def _try_candidates(self, initial_state: LayerLoads) -> list[_Trial]:
        slots_per_rank = self.view.assignment.placement.slots_per_rank
        moves = find_candidate_moves(initial_state, slots_per_rank, self.policy.split)
        # A trial takes about a millisecond. Without a limit, a badly skewed layer
        # would delay all others. The next decision tries the remaining moves.
        moves = moves[: _MAX_TRIALS_PER_LAYER - self.trial_count]
        self.trial_count += len(moves)
        return [self._try_move(move, initial_state) for move in moves]

    def _try_move(self, move: Move, initial_state: LayerLoads) -> _Trial:
        state = initial_state.copy()
        apply_move(state, move)
        _split_loads(state, self.policy.split, _MAX_SWEEPS_PER_TRIAL)
        excess_reduction = self.state.excess - state.excess
        gain = self.policy.excess_cost * excess_reduction
        weight_loads = count_weight_loads(move)
        cost = _compute_move_cost(self.policy, weight_loads, self.move_cost_factor)
        return _Trial(
            EvaluatedMove(move, gain, cost, self._classify(weight_loads, gain)), state
        )

    def _find_profitable_pair(self, trials: list[_Trial]) -> list[_Trial]:
        """Return two moves that are worth their cost only together, or nothing.

        Two experts on two ranks can become equally hot. Relieving one rank leaves the
        other as slow as before, so neither move has a gain of its own. Without pairs
        the group would stay slow for as long as both experts are equally hot.
        """
        slowest_count = count_slowest_ranks(self.state)
        first_moves = [
            trial
            for trial in trials
            if count_slowest_ranks(trial.state) < slowest_count
        ]
        if not first_moves or math.isinf(self.move_cost_factor):
            return []
        first = min(first_moves, key=lambda trial: count_slowest_ranks(trial.state))
        pairs = [
            self._evaluate_pair(first, second)
            for second in self._try_candidates(first.state)
        ]
        profitable = [
            pair
            for pair in pairs
            if pair[0].evaluated.reason is MoveReason.GAIN_ABOVE_COST
        ]
        return max(profitable, key=lambda pair: _net_gain(pair[0]), default=[])

    def _evaluate_pair(self, first: _Trial, second: _Trial) -> list[_Trial]:
        """Evaluate two moves as one; split the gain in proportion to weight loads."""
        moves = (first.evaluated.move, second.evaluated.move)
        weight_loads = [count_weight_loads(move) for move in moves]
        reason = self._classify(sum(weight_loads), second.evaluated.gain)
        if not all(weight_loads):
            return [
                _Trial(
                    replace(second.evaluated, reason=MoveReason.NO_GAIN), second.state
                )
            ]
        gains = [
            second.evaluated.gain * count / sum(weight_loads) for count in weight_loads
        ]
        costs = [
            _compute_move_cost(self.policy, count, self.move_cost_factor)
            for count in weight_loads
        ]
        states = (first.state, second.state)
        return [
            _Trial(EvaluatedMove(move, gain, cost, reason), state)
            for move, gain, cost, state in zip(moves, gains, costs, states, strict=True)
        ]

    def _classify(self, weight_loads: int, gain: float) -> MoveReason:
        if gain <= 0:
            return MoveReason.NO_GAIN
        if gain <= _compute_move_cost(self.policy, weight_loads, 1.0):
            return MoveReason.GAIN_BELOW_COST
        if gain <= _compute_move_cost(self.policy, weight_loads, self.move_cost_factor):
            return MoveReason.WINDOW_TOO_COSTLY
        if weight_loads > self.weight_loads_left:
            return MoveReason.LOAD_LIMIT_REACHED
        return MoveReason.GAIN_ABOVE_COST


def _net_gain(trial: _Trial) -> float:
    return trial.evaluated.gain - trial.evaluated.cost


def _mark_outperformed(evaluated: EvaluatedMove) -> EvaluatedMove:
    if evaluated.reason is not MoveReason.GAIN_ABOVE_COST:
        return evaluated
    return EvaluatedMove(
        evaluated.move, evaluated.gain, evaluated.cost, MoveReason.OTHER_MOVE_CHOSEN
    )
