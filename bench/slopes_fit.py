"""Straight lines through what was measured, by least squares."""

import statistics
from collections.abc import Iterable
from dataclasses import asdict, dataclass
from math import sqrt

__all__ = ["Fit", "fit", "fit_from"]

_DIGITS = 6


@dataclass(frozen=True, slots=True)
class Fit:
    """A figure measured at several sizes of what drives it.

    Parameters
    ----------
    driver, unit : str
        What was varied, and the unit of the values.
    sizes, values : tuple of float
    slope, intercept : float
        In units for one more of the driver, and for none of it.
    residual : float
        Root of the mean square of the residuals, in the unit.
    """

    driver: str
    unit: str
    sizes: tuple[float, ...]
    values: tuple[float, ...]
    slope: float
    intercept: float
    residual: float

    def at(self, size: float) -> float:
        """Return the figure worked out for ``size``.

        Examples
        --------
        >>> fit("peers", "bytes/s", [1, 2, 3, 4], [3, 5, 7, 9]).at(10)
        21.0
        """
        return self.slope * size + self.intercept

    def as_dict(self) -> dict:
        """Return plain values for JSON."""
        return asdict(self)


def fit(driver: str, unit: str, sizes: Iterable, values: Iterable) -> Fit:
    """Return the line of least squares through ``values`` at ``sizes``."""
    xs, ys = tuple(sizes), tuple(values)
    slope, intercept = statistics.linear_regression(xs, ys)
    squares = [(y - slope * x - intercept) ** 2 for x, y in zip(xs, ys, strict=True)]
    return Fit(
        driver,
        unit,
        xs,
        tuple(_rounded(y) for y in ys),
        _rounded(slope),
        _rounded(intercept),
        _rounded(sqrt(statistics.fmean(squares))),
    )


def fit_from(raw: dict) -> Fit:
    """Return the fit that :meth:`Fit.as_dict` gave."""
    return Fit(**{**raw, "sizes": tuple(raw["sizes"]), "values": tuple(raw["values"])})


def _rounded(value: float) -> float:
    return float(f"{value:.{_DIGITS}g}")
