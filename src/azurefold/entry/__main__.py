"""``azurefold-entry``: the process that callers talk to."""

from gevent import monkey

monkey.patch_all()

import sys  # noqa: E402

from azurefold.entry.service import run_entry  # noqa: E402
from azurefold.internal.process import run_binary  # noqa: E402


def main() -> None:
    """Run the command line."""
    run_binary(run_entry, "azurefold-entry")


if __name__ == "__main__":
    sys.exit(main())
