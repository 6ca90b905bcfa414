"""The targets of expert balance, checked against the rows of a run."""

__all__ = ["targets"]

_BOUND = 0.05
_CPU_MS = 20.0


def targets(rows: list[dict]) -> list[dict]:
    """Return one entry for each trace and target: measured, limit, met or not."""
    traces = list(dict.fromkeys(row["trace"] for row in rows))
    checked = []
    for trace in traces:
        of_trace = {row["balancer"]: row for row in rows if row["trace"] == trace}
        checked += [{"trace": trace} | check for check in _check(of_trace)]
    return checked


def _check(rows: dict[str, dict]) -> list[dict]:
    repack = rows["interval re-pack"]
    hinokuni = rows["azurefold, Hinokuni"]
    union = rows["azurefold, Union"]
    cpu = max(hinokuni["cpu ms/layer max"], union["cpu ms/layer max"])
    return [
        _target(
            "Hinokuni: skew over re-pack's",
            hinokuni["skew mean"] / repack["skew mean"],
            1.0,
        ),
        _target("Hinokuni: over lower bound", hinokuni["over bound"], _BOUND),
        _target("Hinokuni: loads over re-pack's", _loads(hinokuni, repack), 1 / 5),
        _target("Union: loads over re-pack's", _loads(union, repack), 1 / 20),
        _target("Union: confirmations delayed", union["confirmations delayed"], 0),
        _target(
            "Union: skew over re-pack's", union["skew mean"] / repack["skew mean"], 1.15
        ),
        _target("CPU ms to decide a layer", cpu, _CPU_MS),
    ]


def _loads(row: dict, repack: dict) -> float:
    return row["loads"] / max(1, repack["loads"])


def _target(name: str, measured: float, limit: float) -> dict:
    return {
        "target": name,
        "measured": round(measured, 4),
        "limit": limit,
        "met": "met" if measured <= limit else "not met",
    }
