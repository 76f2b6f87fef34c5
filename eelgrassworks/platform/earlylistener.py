"""Listens for the reports of a target before the libraries are loaded.

A target whose report is refused waits before it reports again, and nothing can
start there meanwhile.  With an early listener its connection waits in the
queue of the socket until the agent handles it.  Callers and operators turn to
another node at once when they are refused, so their listeners open last.
"""

import json
import os
import pathlib
import socket
from typing import Final

PATH_VARIABLE: Final = 'EELGRASSWORKS_NODE_FILE'
# The target alone connects here.
QUEUE_LENGTH: Final = 16


def open_listener(role: str) -> socket.socket | None:
    """Return the socket on which an agent receives reports.

    Returns None for other roles, and if the address cannot be read or used:
    the role then reports what is wrong with it.
    """
    if role != 'agent':
        return None
    try:
        return _listen(_read_address())
    except (
        OSError,
        ValueError,
        KeyError,
        TypeError,
        OverflowError,
        RecursionError,
    ):
        return None


def _read_address() -> tuple[str, int]:
    node = json.loads(pathlib.Path(os.environ[PATH_VARIABLE]).read_bytes())
    host, _, port = str(node['listen']['control']).rpartition(':')
    return host, int(port)


def _listen(address: tuple[str, int]) -> socket.socket:
    listener = socket.socket()
    try:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind(address)
        listener.listen(QUEUE_LENGTH)
    except OSError:
        listener.close()
        raise
    listener.setblocking(False)
    return listener
