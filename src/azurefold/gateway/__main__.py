"""The binary ``azurefold-gateway``."""

from gevent import monkey

monkey.patch_all()

import os  # noqa: E402
import sys  # noqa: E402

from azurefold.gateway.service import run_gateway  # noqa: E402

_SETTINGS_VARIABLE = "AZUREFOLD_NODE_FILE"


def main() -> None:
    """Run a gateway with the settings file that the environment names."""
    path = sys.argv[1] if len(sys.argv) > 1 else os.environ.get(_SETTINGS_VARIABLE, "")
    # Nothing of what is left, such as idle connections, needs an orderly end.
    os._exit(run_gateway(path))


if __name__ == "__main__":
    main()
