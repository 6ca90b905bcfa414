"""Metrics that are read off plain counters when somebody asks for them."""

from collections.abc import Mapping

from prometheus_client.metrics_core import CounterMetricFamily

__all__ = ["counter_family"]


def counter_family(
    name: str, text: str, label: str, numbers: Mapping[str, int]
) -> CounterMetricFamily:
    """Return a counter with one label, from its value for each label's value."""
    family = CounterMetricFamily(name, text, labels=[label])
    for value, number in numbers.items():
        family.add_metric([value], number)
    return family
