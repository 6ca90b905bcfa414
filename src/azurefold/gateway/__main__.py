"""The binary ``azurefold-gateway``.

The standard library is not patched: a gateway calls gevent's own modules. Patching all
of it takes a third of a start, as plugins of it are looked for some 25 times.
"""

import signal

# Before the other modules are loaded, which takes long enough for a signal to come. The
# settings are read after it in any case.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

from azurefold.internal.process_log import log_failure, prepare_start  # noqa: E402

_NAME = "azurefold-gateway"
if __name__ == "__main__":
    prepare_start(_NAME)

import argparse  # noqa: E402
import faulthandler  # noqa: E402
import os  # noqa: E402
import sys  # noqa: E402

from azurefold.core.admission.queue import DEFAULT_CLASS_FLOOR  # noqa: E402
from azurefold.gateway.service import run_gateway  # noqa: E402
from azurefold.platform.settings import SETTINGS_VARIABLE  # noqa: E402

_MAX_CLASS_FLOOR = 0.1
"""With ten classes, the nine less urgent ones are then owed nine tenths."""


def main() -> None:
    """Run a gateway.

    The library that the other binaries use for their command line would take
    1.3 MB of memory on each entry VM, for a few arguments.
    """
    if sys.stderr is not None:
        # A library that aborts leaves a trace.
        faulthandler.enable()
    parser = argparse.ArgumentParser(_NAME)
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
    parser.add_argument(
        "--class-floor",
        type=_share,
        default=DEFAULT_CLASS_FLOOR,
        help="share of the tokens that each less urgent class of a service with three "
        "or more priorities gets while it waits, from 0 to 0.1",
    )
    parser.add_argument(
        "--size-hints",
        action="store_true",
        help="estimate the work of requests from their callers' hints on the answer",
    )
    arguments = parser.parse_args()
    try:
        code = run_gateway(
            arguments.settings,
            arguments.metrics_port,
            arguments.class_floor,
            uses_size_hints=arguments.size_hints,
        )
    except Exception as error:  # noqa: BLE001
        code = log_failure(_NAME, error)
    # Nothing of what is left, such as idle connections, needs an orderly end.
    os._exit(code)


def _share(text: str) -> float:
    """Return a share that leaves the most urgent of ten classes its tokens."""
    value = float(text)
    if not 0.0 <= value <= _MAX_CLASS_FLOOR:
        raise argparse.ArgumentTypeError(f"{text} is not from 0 to {_MAX_CLASS_FLOOR}")
    return value


if __name__ == "__main__":
    main()
