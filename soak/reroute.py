"""Leads the connections of a process through the proxies of a soak.

Every process of a soak listens on an address of 127.0.0.0/16.  Its proxy for
the process with number N listens on the same port of the address whose second
octet is N.  Peers learn each other's addresses from messages, so the processes
themselves translate an address when they connect.
"""

import os
from typing import Any
from typing import Final

PLAIN_PREFIX: Final = '127.0.'
# The number of the process that connects.
NUMBER_VARIABLE: Final = 'EELGRASSWORKS_SOAK_NUMBER'
# What a process runs first.
PRELUDE: Final = 'from soak import reroute; reroute.install()\n'


def find_proxy_host(number: int, host: str) -> str:
    """Return the host on which a process reaches the proxy of a host."""
    return host.replace(PLAIN_PREFIX, f'127.{number}.', 1)


def install() -> None:
    """Let this process connect to proxies, if it has a number."""
    number = os.environ.get(NUMBER_VARIABLE)
    if number is None:
        return
    import pynng

    dial = pynng.Push0.dial

    def dial_proxy(socket: Any, address: str, **options: Any) -> Any:
        return dial(socket, find_proxy_host(int(number), address), **options)

    pynng.Push0.dial = dial_proxy
