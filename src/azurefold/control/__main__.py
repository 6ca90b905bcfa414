"""``azurefold-control``: membership, configuration and group coordination."""

from gevent import monkey

monkey.patch_all()

import sys  # noqa: E402

from azurefold.control.service import run_control  # noqa: E402
from azurefold.internal.process import run_binary  # noqa: E402


def main() -> None:
    """Run the command line."""
    run_binary(run_control, "azurefold-control")


if __name__ == "__main__":
    sys.exit(main())
