"""Decide which moves pay: small improvements in place of full re-packs."""

import math
from collections.abc import Sequence
from dataclasses import dataclass, field, replace

from azurefold.core.balance.candidates import find_candidate_moves, slow_count
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

__all__ = ["compute_cost", "propose_rebalance", "propose_layer"]

_TRIAL_SWEEPS = 6
_MAX_ROUNDS = 3
_MAX_TRIALS = 10


def compute_cost(
    policy: BalancePolicy, excess: float, loads: int, factor: float
) -> float:
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
    return policy.excess_cost * excess + _cost(policy, loads, factor)


def _cost(policy: BalancePolicy, loads: int, factor: float) -> float:
    # 0 * inf is not a number: what loads nothing costs nothing in any window.
    return policy.move_weight * loads * factor if loads else 0.0


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
        The layers; they share the limit of weight loads.
    policy : BalancePolicy
        What the service asks for.
    time_of_day : int
        Milliseconds since midnight, local to the service.
    stragglers : tuple of Straggler
        Ranks found slow, for the report; their speeds are in the views.
    """
    left = policy.max_weight_loads
    decided: dict[int, LayerProposal] = {}
    for index in sorted(range(len(views)), key=lambda i: (-_excess(views[i]), i)):
        decided[index] = propose_layer(views[index], policy, time_of_day, left)
        left -= sum(
            count_weight_loads(judged.move) for judged in decided[index].accepted
        )
    return Proposal(
        layers=tuple(decided[index] for index in range(len(views))),
        move_factor=move_factor(policy, time_of_day),
        weight_loads_used=policy.max_weight_loads - left,
        weight_loads_allowed=policy.max_weight_loads,
        stragglers=stragglers,
    )


def _excess(view: LayerView) -> float:
    return build_layer_loads(view.assignment, view.rates, view.speeds).excess


def propose_layer(
    view: LayerView, policy: BalancePolicy, time_of_day: Millis, weight_loads_left: int
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
    weight_loads_left : int
        Weight loads that may still be made in this interval.
    """
    state = build_layer_loads(view.assignment, view.rates, view.speeds)
    before = state.excess
    if before <= policy.tolerated_excess:
        return LayerProposal(view, view.assignment, before, before, before, (), ())
    _split(state, policy.split)
    shared = state.excess
    search = _Search(
        view, policy, move_factor(policy, time_of_day), weight_loads_left, state
    )
    search.run()
    after = search.state.excess
    worth_a_map = before - shared > policy.min_reshare_gain or search.taken
    if not worth_a_map:
        assignment, after = view.assignment, before
    else:
        slots = view.assignment.placement.slots_per_rank
        assignment = build_assignment(search.state, slots)
    return LayerProposal(
        view=view,
        assignment=assignment,
        excess_before=before,
        excess_after_resharing=shared,
        excess_after=after,
        accepted=tuple(search.taken),
        rejected=search.left,
    )


def _split(
    state: LayerLoads, split: ReplicaSplit, max_sweeps: int | None = None
) -> None:
    match split:
        case ReplicaSplit.LEVEL if max_sweeps is None:
            balance_replica_loads(state)
        case ReplicaSplit.LEVEL:
            balance_replica_loads(state, max_sweeps)
        case ReplicaSplit.EVEN:
            _split_evenly(state)


def _split_evenly(state: LayerLoads) -> None:
    state.totals = [0.0] * len(state.totals)
    for expert, hosts in enumerate(state.hosts):
        part = state.loads[expert] / len(hosts)
        state.parts[expert] = [part] * len(hosts)
        for rank in hosts:
            state.totals[rank] += part


@dataclass(frozen=True, slots=True)
class _Trial:
    """A move, and the state that it leads to."""

    judged: EvaluatedMove
    state: LayerLoads


@dataclass(slots=True)
class _Search:
    """The moves tried on one layer so far."""

    view: LayerView
    policy: BalancePolicy
    factor: float
    weight_loads_left: int
    state: LayerLoads
    taken: list[EvaluatedMove] = field(default_factory=list)
    not_taken: list[EvaluatedMove] = field(default_factory=list)
    tried: int = 0

    @property
    def left(self) -> tuple[EvaluatedMove, ...]:
        """The moves tried and not taken, each with the verdict it got last."""
        last = {judged.move: judged for judged in self.not_taken}
        taken = {judged.move for judged in self.taken}
        return tuple(j for move, j in last.items() if move not in taken)

    def run(self) -> None:
        """Take the best move of each round until none pays."""
        for _ in range(_MAX_ROUNDS):
            if self.state.excess <= self.policy.tolerated_excess:
                return
            if not self._take_best():
                return

    def _take_best(self) -> bool:
        trials = self._trials(self.state)
        paying = [
            trial
            for trial in trials
            if trial.judged.reason is MoveReason.GAIN_ABOVE_COST
        ]
        best = max(paying, key=_surplus, default=None)
        taken = [best] if best else self._paying_pair(trials)
        self.not_taken += [_second(t.judged) for t in trials if t not in taken]
        if not taken:
            return False
        self.taken += [trial.judged for trial in taken]
        self.weight_loads_left -= sum(
            count_weight_loads(trial.judged.move) for trial in taken
        )
        self.state = taken[-1].state
        _split(self.state, self.policy.split)
        return True

    def _trials(self, start: LayerLoads) -> list[_Trial]:
        slots = self.view.assignment.placement.slots_per_rank
        moves = find_candidate_moves(start, slots, self.policy.split)
        # Each trial costs about a millisecond. Without a limit a layer far from
        # level holds up all others; what is left waits for the next decision.
        moves = moves[: _MAX_TRIALS - self.tried]
        self.tried += len(moves)
        return [self._try(move, start) for move in moves]

    def _try(self, move: Move, start: LayerLoads) -> _Trial:
        state = start.copy()
        apply_move(state, move)
        _split(state, self.policy.split, _TRIAL_SWEEPS)
        saved = self.state.excess - state.excess
        gain = self.policy.excess_cost * saved
        loads = count_weight_loads(move)
        cost = _cost(self.policy, loads, self.factor)
        return _Trial(EvaluatedMove(move, gain, cost, self._judge(loads, gain)), state)

    def _paying_pair(self, trials: list[_Trial]) -> list[_Trial]:
        """Return two moves that pay only together, or nothing.

        What goes wrong without: two experts become equally hot on two ranks.
        Relieving either leaves the other as slow, so neither move gains
        anything, and the group stays slow for as long as they stay alike.
        """
        before = slow_count(self.state)
        halves = [t for t in trials if slow_count(t.state) < before]
        if not halves or math.isinf(self.factor):
            return []
        first = min(halves, key=lambda trial: slow_count(trial.state))
        pairs = [self._pair(first, then) for then in self._trials(first.state)]
        paying = [
            pair
            for pair in pairs
            if pair[0].judged.reason is MoveReason.GAIN_ABOVE_COST
        ]
        return max(paying, key=lambda pair: _surplus(pair[0]), default=[])

    def _pair(self, first: _Trial, then: _Trial) -> list[_Trial]:
        """Judge two moves as one, their gain shared out by their weight loads."""
        moves = (first.judged.move, then.judged.move)
        loads = [count_weight_loads(move) for move in moves]
        reason = self._judge(sum(loads), then.judged.gain)
        if not all(loads):
            return [_Trial(replace(then.judged, reason=MoveReason.NO_GAIN), then.state)]
        gains = [then.judged.gain * part / sum(loads) for part in loads]
        costs = [_cost(self.policy, part, self.factor) for part in loads]
        states = (first.state, then.state)
        return [
            _Trial(EvaluatedMove(move, gain, cost, reason), state)
            for move, gain, cost, state in zip(moves, gains, costs, states, strict=True)
        ]

    def _judge(self, loads: int, gain: float) -> MoveReason:
        if gain <= 0:
            return MoveReason.NO_GAIN
        if gain <= _cost(self.policy, loads, 1.0):
            return MoveReason.GAIN_BELOW_COST
        if gain <= _cost(self.policy, loads, self.factor):
            return MoveReason.WINDOW_TOO_COSTLY
        if loads > self.weight_loads_left:
            return MoveReason.LOAD_LIMIT_REACHED
        return MoveReason.GAIN_ABOVE_COST


def _surplus(trial: _Trial) -> float:
    return trial.judged.gain - trial.judged.cost


def _second(judged: EvaluatedMove) -> EvaluatedMove:
    if judged.reason is not MoveReason.GAIN_ABOVE_COST:
        return judged
    return EvaluatedMove(
        judged.move, judged.gain, judged.cost, MoveReason.OTHER_MOVE_CHOSEN
    )
