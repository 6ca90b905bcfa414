"""Renders a proposal as text for operators."""

import math
from collections.abc import Iterator

from azurefold.core.balance.moves import (
    Drop,
    Move,
    Replicate,
    Swap,
    count_weight_loads,
)
from azurefold.core.balance.proposal import EvaluatedMove, LayerProposal, Proposal
from azurefold.core.objectives.rendering import format_duration

__all__ = ["explain_proposal"]

_MAX_EXPERTS_SHOWN = 8
_MAX_RANKS_SHOWN = 8


def explain_proposal(proposal: Proposal) -> str:
    """Return expert popularity, rank loads, accepted and rejected moves as text.

    Parameters
    ----------
    proposal : Proposal
        Proposal to explain.
    """
    return "\n".join(_render_proposal(proposal)) + "\n"


def _render_proposal(proposal: Proposal) -> Iterator[str]:
    yield (
        f"weight loads: {proposal.weight_loads_used} "
        f"of {proposal.weight_loads_allowed} "
        f"in this interval; {_render_move_factor(proposal.move_factor)}"
    )
    for straggler in proposal.stragglers:
        yield (
            f"rank {straggler.rank} is slow as such: {straggler.slowdown:.2f} times "
            f"the median time per token, "
            f"found {format_duration(straggler.slow_for)} ago"
        )
    for layer in proposal.layers:
        yield ""
        yield from _render_layer(layer)


def _render_move_factor(factor: float) -> str:
    if math.isinf(factor):
        return "moves are forbidden at this time of day"
    if factor == 1.0:
        return "moves at their ordinary price"
    return f"moves are {factor:g} times dearer at this time of day"


def _render_layer(layer: LayerProposal) -> Iterator[str]:
    yield (
        f"layer {layer.view.layer}: slowest rank {layer.excess_before:.1%} above the "
        f"lower bound, {layer.excess_after_resharing:.1%} with new shares alone, "
        f"{layer.excess_after:.1%} as proposed"
    )
    yield f"  most popular: {_render_popular_experts(layer)}"
    yield f"  slowest ranks now: {_render_slowest_ranks(layer)}"
    if not layer.is_changed:
        yield "  no new map"
    elif not layer.accepted:
        yield "  new shares for the replicas, no weights to load"
    for evaluated in layer.accepted:
        yield f"  take: {_render_evaluated_move(evaluated)}"
    for evaluated in layer.rejected:
        yield f"  leave: {_render_evaluated_move(evaluated)}: {evaluated.reason.value}"


def _render_popular_experts(layer: LayerProposal) -> str:
    rates = layer.view.rates
    hosts = layer.view.assignment.placement.hosts
    order = sorted(range(len(rates)), key=lambda expert: (-rates[expert], expert))
    return ", ".join(
        f"expert {expert} {rates[expert]:.0f} tokens/s on {len(hosts[expert])}"
        for expert in order[:_MAX_EXPERTS_SHOWN]
    )


def _render_slowest_ranks(layer: LayerProposal) -> str:
    speeds = layer.view.speeds
    before = layer.view.assignment.rank_loads(layer.view.rates)
    after = layer.assignment.rank_loads(layer.view.rates)
    order = sorted(range(len(before)), key=lambda r: (-before[r] / speeds[r], r))
    return ", ".join(
        f"rank {rank} {before[rank]:.0f} -> {after[rank]:.0f} tokens/s"
        for rank in order[:_MAX_RANKS_SHOWN]
    )


def _render_evaluated_move(evaluated: EvaluatedMove) -> str:
    return (
        f"{_render_move(evaluated.move)}, "
        f"weight loads {count_weight_loads(evaluated.move)}, "
        f"gain {evaluated.gain:.2f}, cost {evaluated.cost:.2f}"
    )


def _render_move(move: Move) -> str:
    match move:
        case Replicate(expert, rank, None):
            return f"replicate expert {expert} to rank {rank}"
        case Replicate(expert, rank, evicted):
            return (
                f"replicate expert {expert} to rank {rank} in place of expert {evicted}"
            )
        case Swap(expert, rank, other_expert, other_rank):
            return (
                f"swap expert {expert} of rank {rank} "
                f"with expert {other_expert} of rank {other_rank}"
            )
        case Drop(expert, rank):
            return f"drop the replica of expert {expert} on rank {rank}"
