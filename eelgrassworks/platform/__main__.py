"""Runs one role of eelgrassworks on the platform.

``python3 -m eelgrassworks.platform entry|control|agent``
"""

import gc
import sys
from typing import Final

from eelgrassworks.platform import earlylistener

EXIT_DONE: Final = 0
EXIT_USAGE: Final = 2
ROLES: Final = ('agent', 'control', 'entry')


def main() -> int:
    """Run the role given by the first argument; return the exit status."""
    role = sys.argv[1] if len(sys.argv) == 2 else ''
    if role not in ROLES:
        sys.stderr.write(
            f'expected one argument, the role: {", ".join(ROLES)}\n'
        )
        return EXIT_USAGE
    listener = earlylistener.open_listener(role)
    from eelgrassworks import logs

    logs.start_logging(sys.stdout, role=role)
    if role == 'control' and not _redirect_until_needed():
        return EXIT_DONE
    # Loading the libraries takes most of the time of a start.  What they
    # allocate stays, so that collections meanwhile would find nothing.
    gc.disable()
    from eelgrassworks.platform import roles

    return roles.run(role, listener)


def _redirect_until_needed() -> bool:
    """Redirect operators on a machine without a disk.

    Returns False when the process has been stopped meanwhile.
    """
    from eelgrassworks.platform import redirector

    node = redirector.read_settings()
    return node is None or bool(node.data_dir) or redirector.run(node)


if __name__ == '__main__':
    sys.exit(main())
