"""Choice of the peers that a process connects to in a large deployment.

The pattern is subsetting by rendezvous hashing.  With a fixed number of
entries for each agent, an entry knows about (agents x size / entries) targets
instead of all, and the number of links grows with the agents alone.  Each
agent ranks all entries by a hash of both names and takes the first ones, so
that agents need no coordination, entries get about equal numbers of targets,
and the loss of an entry moves only the links of this entry.
"""

from collections.abc import Iterable
from typing import Final

import xxhash

# Entries that one agent serves.  Every entry needs targets in each failure
# domain, and a busy one more than its share.
SUBSET_SIZE: Final = 8


def choose_peers(
    name: str, peers: Iterable[str], size: int
) -> tuple[str, ...]:
    """Return the ``size`` peers that rank first for ``name``, sorted."""
    ranked = sorted(peers, key=lambda peer: _rank(name, peer), reverse=True)
    return tuple(sorted(ranked[:size]))


def _rank(name: str, peer: str) -> tuple[int, str]:
    return xxhash.xxh3_64_intdigest(f'{name}/{peer}'.encode()), peer
