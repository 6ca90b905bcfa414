"""Starts a gateway where signals may come at any moment.

Until this file's first statement a SIGHUP ends the process. Run with ``python3 -S``, which
leaves out the search through site-packages, that is a fifth of the time that it takes to
get to the same statement with ``python3 -m azurefold.gateway``.
"""

# The public module loads several others, which takes as long as all before.
import _signal

_signal.signal(_signal.SIGHUP, _signal.SIG_IGN)

from azurefold.internal.process_log import prepare_start  # noqa: E402

prepare_start("azurefold-gateway")

from azurefold.gateway.__main__ import main  # noqa: E402

if __name__ == "__main__":
    main()
