"""Frames: what one process sends to another in one turn of its loop."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Sender:
    """The process that sent a frame.

    ``incarnation`` tells one run of a named process from the next; answers
    go to ``address``.
    """

    name: str
    incarnation: int
    address: str


@dataclasses.dataclass(frozen=True, slots=True)
class Frame:
    """Messages of one sender, in the order in which they were posted."""

    sender: Sender
    messages: tuple[object, ...]
