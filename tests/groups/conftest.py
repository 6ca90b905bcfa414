"""A group of four ranks as real processes, with both kinds of engine."""

import pytest

from azurefold_standins.rank_group import group_layout, rank_group
from azurefold_standins.site import new_site


@pytest.fixture(scope="module", params=[True, False], ids=["fenced", "unfenced"])
def group(request, tmp_path_factory):
    """A running group; engines honour fencing numbers, or ignore them."""
    layout = group_layout(4, honours_fence=request.param)
    site = new_site(layout, tmp_path_factory.mktemp("group"))
    try:
        yield rank_group(site)
    finally:
        site.processes.kill_all()
