"""How long it takes until what was restarted knows what it needs again.

Three parts. Real processes on loopback, killed and started again, with the
platform up and down. Membership in virtual time at a data centre's target size.
Configuration followers in virtual time: a restart, a data centre back after a
cut, and all nodes restarting at once before a platform that answers 2,000 reads
a second.
"""

from azurefold.core.clock import SECOND, Millis
from bench.recovery_processes import processes
from bench.recovery_virtual import LIMIT, Size, cut, herd, membership, restarts

_MINUTE: Millis = 60 * SECOND

SIZES = {
    "tiny": Size(2, 3, 6, (4, 40), 10 * SECOND, 2, 1),
    "full": Size(10, 39, 390, (30, 100, 285), 60 * _MINUTE, 13, 5),
}


def run(size: str) -> dict:
    """Return all figures for ``"tiny"`` or ``"full"``."""
    chosen = SIZES[size]
    members = membership(chosen)
    # A process that knows nobody takes itself for its data centre's poller.
    alone_ms = members[-1]["knows_half_ms"] or LIMIT
    return {
        "size": size,
        "processes": processes(chosen.trials),
        "membership": members,
        "configuration": restarts(chosen, alone_ms),
        "all_nodes_at_once": herd(chosen, alone_ms),
        "data_centre_back": [cut(chosen, alone_ms)],
    }
