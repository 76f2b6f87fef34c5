"""Fills the byte-code cache that the programs of the deploy file start from.

The build runs it with the interpreter options of the programs, so that a
start compiles nothing.  What a process starts slowly is time without service
after a kill.
"""

import importlib
from typing import Final

# Everything that a role imports, lazily or not.
MODULES: Final = (
    'eelgrassworks.controlprocess',
    'eelgrassworks.entryprocess',
    'eelgrassworks.heldagentprocess',
    'eelgrassworks.replication.journal',
    'eelgrassworks.platform.__main__',
    'eelgrassworks.platform.ingress',
    'eelgrassworks.platform.operatorapi',
    'eelgrassworks.platform.reports',
    'eelgrassworks.platform.runnerlink',
)


def main() -> None:
    """Import every module once."""
    for module in MODULES:
        importlib.import_module(module)


if __name__ == '__main__':
    main()
