"""The binary ``azurefold-gateway``.

The standard library is not patched: a gateway calls gevent's own modules. Patching all
of it takes a third of a start, as plugins of it are looked for some 25 times.
"""

import argparse
import os

from azurefold.gateway.service import run_gateway
from azurefold.platform.settings import SETTINGS_VARIABLE


def main() -> None:
    """Run a gateway.

    The library that the other binaries use for their command line would take
    1.3 MB of memory on each entry VM, for two arguments.
    """
    parser = argparse.ArgumentParser("azurefold-gateway")
    parser.add_argument(
        "settings",
        nargs="?",
        default=os.environ.get(SETTINGS_VARIABLE, ""),
        help=f"settings file; without it, the one that {SETTINGS_VARIABLE} names",
    )
    parser.add_argument(
        "--metrics-port",
        type=int,
        default=0,
        help="port of the metrics beside the address of health checks; 0 for none",
    )
    arguments = parser.parse_args()
    # Nothing of what is left, such as idle connections, needs an orderly end.
    os._exit(run_gateway(arguments.settings, arguments.metrics_port))


if __name__ == "__main__":
    main()
