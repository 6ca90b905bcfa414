"""Experts of the engine stand-in: which ones tokens choose, and who computes."""

from dataclasses import dataclass, field
from zlib import crc32

from azurefold.core.balance.packing import pack_experts
from azurefold.core.balance.placement import Assignment, assign_evenly
from azurefold.core.groups.popularity import RankReport
from azurefold.wire.group_maps import decode_map, map_id_of

__all__ = ["Experts", "new_experts"]

_US_PER_TOKEN = 100


@dataclass(slots=True)
class Experts:
    """The experts of one group, with counts since its start.

    Parameters
    ----------
    n_experts : int
        In each layer.
    maps : dict of str to tuple of Assignment
        Contents by map id.
    in_use : tuple of Assignment
        Layers of the map in use. A map without content leaves them as they are.
    tokens : list, shape (n_ranks, n_layers, n_experts)
    work, busy_us : list, shape (n_ranks,)
    """

    n_experts: int
    maps: dict[str, tuple[Assignment, ...]]
    in_use: tuple[Assignment, ...]
    tokens: list[list[list[int]]]
    work: list[float]
    busy_us: list[float]
    map_id: str = ""
    hosts: list[tuple[tuple[int, ...], ...]] = field(default_factory=list)

    def put_map(self, content: bytes) -> str:
        """Store a map's content and return its id."""
        map_id = map_id_of(content)
        self.maps[map_id] = decode_map(content)
        return map_id

    def use(self, map_id: str) -> None:
        """Compute by the map ``map_id`` from now on."""
        if map_id == self.map_id:
            return
        self.map_id = map_id
        self.in_use = self.maps.get(map_id, self.in_use)
        self.hosts = [layer.placement.hosts for layer in self.in_use]

    def count(self, rank: int, prompt: str, index: int, slowness: list[float]) -> None:
        """Count one token of a request at ``rank``.

        Which expert it chooses hangs on the prompt: most of a prompt's tokens
        go to one expert of each layer, so that popularity follows the prompts.
        """
        for layer, assignment in enumerate(self.in_use):
            favourite = crc32(f"{prompt[:3]} {layer}".encode())
            other = crc32(f"{prompt} {index} {layer}".encode())
            expert = (other if other % 3 == 0 else favourite) % self.n_experts
            self.tokens[rank][layer][expert] += 1
            pairs = zip(
                self.hosts[layer][expert], assignment.shares[expert], strict=True
            )
            for host, share in pairs:
                self.work[host] += share
                self.busy_us[host] += share * _US_PER_TOKEN * slowness[host]

    def report(self, rank: int) -> RankReport:
        """Return what a rank reports."""
        return RankReport(
            self.map_id,
            self.in_use,
            tuple(tuple(layer) for layer in self.tokens[rank]),
            self.work[rank],
            int(self.busy_us[rank]),
        )


def new_experts(n_ranks: int, n_layers: int, n_experts: int, slots: int) -> Experts:
    """Return experts placed evenly, with nothing counted yet."""
    packed = pack_experts([1.0] * n_experts, n_ranks, slots)
    layers = (assign_evenly(packed),) * n_layers
    tokens = [[[0] * n_experts for _ in layers] for _ in range(n_ranks)]
    idle = [0.0] * n_ranks
    return Experts(n_experts, {}, layers, tokens, list(idle), list(idle))
