"""Earlier readings, kept in a file by whoever runs the report.

Entries keep no history: their VMs have no disks and are replaced at any time.
A window of an hour or three days therefore needs readings from earlier runs,
and these lie with the operator: a file that each run reads and adds to.
"""

import os
from collections.abc import Sequence
from pathlib import Path

import msgspec

from azurefold.border.decoding import UnreadableError, json_decoder
from azurefold.border.findings import Finding, FindingsError, Place
from azurefold.commands.report_readings import Reading
from azurefold.core.clock import Millis
from azurefold.core.objectives.objective import DEFAULT_PERIOD_MS

__all__ = ["load_history", "save_history", "thinned"]

_decode_readings = json_decoder(list[Reading])

_SPACING = 32
"""Readings of age t are kept at least t / 32 apart. Thinned again at each run, the
gaps come to at most twice that, so a window reaches back too far by 7% at most."""


def load_history(path: str, now: Millis) -> list[Reading]:
    """Return the readings kept in a file, none if it does not exist yet.

    Readings later than ``now`` are left out: the clock was set back since, and
    differences across such a jump would belong to no time at all.

    Raises
    ------
    FindingsError
        If the file cannot be read or is damaged.
    """
    file = Path(path)
    if not file.exists():
        return []
    try:
        readings = _decode_readings(file.read_bytes())
    except (OSError, UnreadableError) as error:
        finding = Finding(
            Place(path), str(error), "a file that azurefold-report wrote, or none"
        )
        raise FindingsError("earlier readings cannot be used", [finding]) from error
    return [reading for reading in readings if reading.at <= now]


def save_history(path: str, readings: Sequence[Reading], now: Millis) -> None:
    """Keep ``readings`` for later runs.

    The file is replaced in one step. Written in place, a run that is killed half
    way would leave a damaged file and every later report would fail.

    Raises
    ------
    FindingsError
        If the file cannot be written.
    """
    kept = thinned(readings, now)
    beside = Path(f"{path}.new")
    try:
        beside.write_bytes(msgspec.json.encode(kept))
        os.replace(beside, path)
    except OSError as error:
        reason = error.strerror or "cannot be written"
        finding = Finding(Place(path), reason, "a path that can be written")
        raise FindingsError("readings cannot be kept", [finding]) from error


def thinned(readings: Sequence[Reading], now: Millis) -> list[Reading]:
    """Return the readings worth keeping: the older, the further apart."""
    kept: list[Reading] = []
    last_at: dict[str, Millis] = {}
    for reading in sorted(readings, key=lambda each: each.at):
        age = now - reading.at
        if age > DEFAULT_PERIOD_MS:
            continue
        last = last_at.get(reading.process)
        if last is None or reading.at - last >= age / _SPACING:
            kept.append(reading)
            last_at[reading.process] = reading.at
    return kept
