"""Frames: the messages that a process sends to a peer in one flush."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Sender:
    """The process that sent a frame.

    ``incarnation`` identifies one run of a named process; responses are sent
    to ``address``.
    """

    name: str
    incarnation: int
    address: str

    def shares_host(self, other: 'Sender') -> bool:
        """Tell whether another process runs at the same host."""
        host = self.address.rpartition(':')[0]
        return host == other.address.rpartition(':')[0]


@dataclasses.dataclass(frozen=True, slots=True)
class Frame:
    """Messages of one sender, in the order in which they were queued."""

    sender: Sender
    messages: tuple[object, ...]
