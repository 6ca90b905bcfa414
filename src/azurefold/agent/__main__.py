"""``azurefold-agent``: the process in the slot of an endpoint VM."""

from gevent import monkey

monkey.patch_all()

import sys  # noqa: E402

from azurefold.agent.service import run_agent  # noqa: E402
from azurefold.internal.process import run_binary  # noqa: E402


def main() -> None:
    """Run the command line."""
    run_binary(run_agent, "azurefold-agent")


if __name__ == "__main__":
    sys.exit(main())
