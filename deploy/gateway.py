"""Starts a gateway where signals may come at any moment.

Until this file's first statement a SIGHUP ends the process. ``python3 -S`` leaves the
search through site-packages out, which takes most of the time until then.
"""

# The public module loads several others, which takes as long as all before.
import _signal

_signal.signal(_signal.SIGHUP, _signal.SIG_IGN)

import os  # noqa: E402
import sys  # noqa: E402

# A build that ends meanwhile replaces a link on the path. Modules come from one build.
sys.path[:] = map(os.path.realpath, sys.path)

from azurefold.internal.process_log import prepare_start  # noqa: E402

prepare_start("azurefold-gateway")

from azurefold.gateway.__main__ import main  # noqa: E402

if __name__ == "__main__":
    main()
