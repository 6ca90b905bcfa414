"""Sites that scenarios with the same first steps share."""

import pytest

from azurefold_standins.scenario.world import new_world


class Worlds:
    """Running sites by their first steps; a failed scenario's is given up."""

    def __init__(self, folder):
        self._folder = folder
        self._worlds = {}

    def get(self, given):
        world = self._worlds.get(given)
        if world is None:
            folder = self._folder.mktemp("site")
            world = self._worlds[given] = new_world(given, folder)
        else:
            world.recover()
        return world

    def give_up(self, given):
        self._worlds.pop(given).site.processes.kill_all()

    def close(self):
        for given in list(self._worlds):
            self.give_up(given)


@pytest.fixture(scope="session")
def worlds(tmp_path_factory):
    worlds = Worlds(tmp_path_factory)
    yield worlds
    worlds.close()
