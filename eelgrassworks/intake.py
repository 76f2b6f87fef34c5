"""What clients of the HTTP listeners may hold, and which of them lose it.

The pattern is a memory budget with admission control.  An unfinished request
is charged for what it costs, which is more than what was sent: small chunks
take many times their payload in the library's buffers.  While the budget is
used up, the unfinished requests without progress are closed first; what is
asked for by a client that makes progress is refused.  A request that has been
read whole is never closed, since its tasks may run.

Times and sizes are arguments, so that the decisions need no network.
"""

import collections
import dataclasses
import enum
from typing import Final

# Heads of callers have at most 16,384 bytes; also the size of one read.
MAX_HEAD_BYTES: Final = 16_384
READ_BYTES: Final = 16_384
# A head becomes raw fields, text and a mapping.
HEAD_COST_RATIO: Final = 3
# The body, and the copy of it that a job keeps.
BODY_COST_RATIO: Final = 2
# Buffer entries for a chunk of one byte, of which six are sent, take about
# 60 bytes.  No more is buffered: the library stops to parse at 1,024 chunks.
CHUNK_COST_RATIO: Final = 10
MAX_CHUNK_COST_BYTES: Final = 128 * 1024
# A body above this size is large; most jobs have less than 1 KiB.
LARGE_BYTES: Final = 64 * 1024
# Large bodies leave a quarter of the budget to the others.
LARGE_SHARE: Final = 0.75
# An agent has 168 MB, of which it uses 50 MB; 1,024 connections take 20 MB.
BUDGET_BYTES: Final = 16 * 1024 * 1024
# The budget holds one and a half bodies of the largest size, at what they
# cost, within the share of large bodies.
BUDGET_BODIES: Final = 4
# A process has 4,096 descriptors, of which links and files take hundreds.
MAX_CONNECTIONS: Final = 1024
DESCRIPTORS_SHARE: Final = 0.5
# Callers may take 3 s for a head and be idle for 15 s; the rest is for the
# network, so that the client's own limit comes first.
HEAD_TIMEOUT_S: Final = 5.0
IDLE_TIMEOUT_S: Final = 20.0
# 8 MiB within this time need 0.3 MB/s.
BODY_TIMEOUT_S: Final = 30.0
# Under pressure a client without a byte for this long, or one that has not
# finished its request for the longer time, makes room for others.  Lost
# packets are sent again within 0.3 s.
STALL_S: Final = 0.5
SLOW_S: Final = 3.0


class Reason(enum.StrEnum):
    """Why a connection is closed or a request is refused."""

    HEAD_TOO_LARGE = 'head_too_large'
    HEAD_LATE = 'head_late'
    BODY_LATE = 'body_late'
    IDLE = 'idle'
    AHEAD = 'ahead'
    MEMORY = 'memory'
    CONNECTIONS = 'connections'


@dataclasses.dataclass(frozen=True, slots=True)
class Idle:
    """No byte of the next request has come."""


@dataclasses.dataclass(frozen=True, slots=True)
class ReadingHead:
    """The head of a request is not complete."""


@dataclasses.dataclass(frozen=True, slots=True)
class ReadingBody:
    """The body of a request is not complete."""


@dataclasses.dataclass(frozen=True, slots=True)
class Handling:
    """The request has been read whole and is not answered yet."""


Phase = Idle | ReadingHead | ReadingBody | Handling

IDLE: Final = Idle()
READING_HEAD: Final = ReadingHead()
READING_BODY: Final = ReadingBody()
HANDLING: Final = Handling()


@dataclasses.dataclass(frozen=True, slots=True)
class Closing:
    """A connection that is closed, and why."""

    number: int
    reason: Reason


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """Bounds on what all clients of a process may hold."""

    budget_bytes: int = BUDGET_BYTES
    connections: int = MAX_CONNECTIONS


@dataclasses.dataclass(slots=True)
class Client:
    """One connection; ``since_s`` is the start of its phase.

    ``is_new`` is set until its first request has been read whole.
    """

    phase: Phase
    since_s: float
    progress_s: float
    cost_bytes: int = 0
    is_new: bool = True


def limit_connections(descriptors: int) -> int:
    """Return the bound on connections of a process with so many descriptors.

    A limit below one stands for none.
    """
    if descriptors < 1:
        return MAX_CONNECTIONS
    return min(MAX_CONNECTIONS, max(1, int(descriptors * DESCRIPTORS_SHARE)))


def find_cost(
    head_bytes: int, body_bytes: int, unread_chunk_bytes: int = 0
) -> int:
    """Return the bytes of memory that an unfinished request takes.

    ``unread_chunk_bytes`` were sent as chunks and may still be buffered.
    """
    chunks = min(unread_chunk_bytes * CHUNK_COST_RATIO, MAX_CHUNK_COST_BYTES)
    return head_bytes * HEAD_COST_RATIO + body_bytes * BODY_COST_RATIO + chunks


class HeadScanner:
    """Finds the end of a head, which may come in parts of any size."""

    def __init__(self) -> None:
        # Includes the empty lines before the request.
        self.size = 0
        self._tail = b''
        self._has_begun = False

    def find_end(self, data: bytes) -> int:
        """Return the position in ``data`` after the head, or -1."""
        begin = 0
        if not self._has_begun:
            begin = len(data) - len(data.lstrip(b'\r\n'))
            self._has_begun = begin < len(data)
        window = self._tail + data[begin:]
        found = window.find(b'\r\n\r\n')
        if found < 0:
            self._tail = window[-3:]
            self.size += len(data)
            return -1
        end = found + 4 - len(self._tail) + begin
        self.size += end
        return end


class Intake:
    """Decides which clients of a process may hold what."""

    def __init__(self, limits: Limits) -> None:
        self.limits = limits
        self.cost_bytes = 0
        self.counters: collections.Counter[Reason] = collections.Counter()
        self._clients: dict[int, Client] = {}

    @property
    def connections(self) -> int:
        """The number of open connections."""
        return len(self._clients)

    def make_room(self, body_bytes: int) -> None:
        """Raise the budget for bodies of this size, if it is too small."""
        budget_bytes = max(
            self.limits.budget_bytes, body_bytes * BUDGET_BODIES
        )
        self.limits = dataclasses.replace(
            self.limits, budget_bytes=budget_bytes
        )

    def open(self, number: int, now_s: float) -> list[Closing]:
        """Add a connection; return those that are closed for it.

        If none is stalled, the oldest one makes room that has sent no whole
        request yet: ordinary callers send theirs at once, so that a crowd
        that connects at the same moment does not keep them out.  The new
        connection itself is closed if all others have sent one.
        """
        self._clients[number] = Client(IDLE, now_s, now_s)
        if len(self._clients) <= self.limits.connections:
            return []
        victim = self._find_victim(number, now_s, needs_idle=True)
        if victim is None:
            victim = self._find_oldest_new(number)
        closed = number if victim is None else victim
        return [self._drop(closed, Reason.CONNECTIONS)]

    def read_head(self, number: int, size: int, now_s: float) -> list[Closing]:
        """Record that a head has this size and is not complete."""
        if size > MAX_HEAD_BYTES:
            return [self._drop(number, Reason.HEAD_TOO_LARGE)]
        self._enter(number, READING_HEAD, now_s)
        return self._charge(number, find_cost(size, 0), now_s)

    def read_body(
        self, number: int, cost_bytes: int, now_s: float
    ) -> list[Closing]:
        """Record that an incomplete body takes this much memory."""
        self._enter(number, READING_BODY, now_s)
        return self._charge(number, cost_bytes, now_s)

    def read_all(self, number: int, cost_bytes: int, now_s: float) -> None:
        """Record that a request has been read whole.

        It may exceed the budget by one read, since its handler goes on.
        """
        self._set_cost(number, cost_bytes)
        self._enter(number, HANDLING, now_s)
        client = self._clients.get(number)
        if client is not None:
            client.is_new = False

    def is_admitted(self, number: int, body_bytes: int) -> bool:
        """Return whether a body of this size may be read."""
        client = self._clients.get(number)
        if client is None:
            return False
        cost_bytes = max(client.cost_bytes, find_cost(0, body_bytes))
        others_bytes = self.cost_bytes - client.cost_bytes
        return others_bytes + cost_bytes <= self._find_share(cost_bytes)

    def make_way(
        self, number: int, body_bytes: int, now_s: float
    ) -> list[Closing]:
        """Return the clients to close so that a body may be read."""
        closings: list[Closing] = []
        client = self._clients.get(number)
        if client is None:
            return closings
        cost_bytes = max(client.cost_bytes, find_cost(0, body_bytes))
        others_bytes = self.cost_bytes - client.cost_bytes
        excess_bytes = others_bytes + cost_bytes - self._find_share(cost_bytes)
        if not self._can_free(number, excess_bytes, now_s):
            return closings
        while not self.is_admitted(number, body_bytes):
            victim = self._find_victim(number, now_s)
            if victim is None:
                break
            closings.append(self._drop(victim, Reason.MEMORY))
        return closings

    def finish(self, number: int, now_s: float) -> None:
        """Record that a request has been answered."""
        self._set_cost(number, 0)
        self._enter(number, IDLE, now_s)

    def close(self, number: int) -> None:
        """Forget a connection."""
        self._set_cost(number, 0)
        self._clients.pop(number, None)

    def refuse(self, reason: Reason) -> None:
        """Count a request that is refused."""
        self.counters[reason] += 1

    def expire(self, now_s: float) -> list[Closing]:
        """Return the clients whose time is over."""
        expired = [
            (number, reason)
            for number, client in self._clients.items()
            if (reason := find_expiry(client, now_s)) is not None
        ]
        return [self._drop(number, reason) for number, reason in expired]

    def _enter(self, number: int, phase: Phase, now_s: float) -> None:
        client = self._clients.get(number)
        if client is not None:
            client.progress_s = now_s
            if client.phase is not phase:
                client.phase = phase
                client.since_s = now_s

    def _set_cost(self, number: int, cost_bytes: int) -> None:
        client = self._clients.get(number)
        if client is not None:
            self.cost_bytes += cost_bytes - client.cost_bytes
            client.cost_bytes = cost_bytes

    def _find_share(self, cost_bytes: int) -> int:
        """Return the part of the budget that is open to such a request."""
        if cost_bytes <= find_cost(0, LARGE_BYTES):
            return self.limits.budget_bytes
        return int(self.limits.budget_bytes * LARGE_SHARE)

    def _charge(
        self, number: int, cost_bytes: int, now_s: float
    ) -> list[Closing]:
        """Set the cost of a request; return the clients that are closed."""
        self._set_cost(number, cost_bytes)
        closings: list[Closing] = []
        excess_bytes = self.cost_bytes - self._find_share(cost_bytes)
        if not self._can_free(number, excess_bytes, now_s):
            return [self._drop(number, Reason.MEMORY)]
        while self.cost_bytes > self._find_share(cost_bytes):
            victim = self._find_victim(number, now_s)
            if victim is None:
                closings.append(self._drop(number, Reason.MEMORY))
                break
            closings.append(self._drop(victim, Reason.MEMORY))
        return closings

    def _can_free(self, asking: int, excess_bytes: int, now_s: float) -> bool:
        """Return whether closing stalled clients frees so many bytes.

        Clients must not be closed for one that is refused all the same.
        """
        return excess_bytes <= sum(
            client.cost_bytes
            for number, client in self._clients.items()
            if number != asking and _is_unfinished(client, now_s)
        )

    def _find_victim(
        self, asking: int, now_s: float, needs_idle: bool = False
    ) -> int | None:
        """Return the client that makes room for another one.

        Unfinished requests come first, the oldest one before the others.
        With ``needs_idle`` connections without a request follow.
        """
        unfinished: list[tuple[float, int]] = []
        idle: list[tuple[float, int]] = []
        for number, client in self._clients.items():
            if number == asking:
                continue
            if _is_unfinished(client, now_s):
                # One without a cost gives a connection, but no memory.
                if client.cost_bytes or needs_idle:
                    unfinished.append((client.since_s, number))
            elif isinstance(client.phase, Idle) and is_stalled(client, now_s):
                idle.append((client.since_s, number))
        candidates = unfinished or (idle if needs_idle else [])
        return min(candidates)[1] if candidates else None

    def _find_oldest_new(self, asking: int) -> int | None:
        """Return the oldest connection without a whole request so far."""
        return next(
            (
                number
                for number, client in self._clients.items()
                if number != asking and client.is_new
            ),
            None,
        )

    def _drop(self, number: int, reason: Reason) -> Closing:
        self.counters[reason] += 1
        self.close(number)
        return Closing(number, reason)


def is_stalled(client: Client, now_s: float) -> bool:
    """Return whether a client makes no progress, or too little."""
    return (
        now_s - client.progress_s >= STALL_S
        or now_s - client.since_s >= SLOW_S
    )


def _is_unfinished(client: Client, now_s: float) -> bool:
    """Return whether a client has begun a request and makes no progress."""
    match client.phase:
        case ReadingHead() | ReadingBody():
            return is_stalled(client, now_s)
        case Idle() | Handling():
            return False


def find_expiry(client: Client, now_s: float) -> Reason | None:
    """Return why the time of a client is over, if it is."""
    age_s = now_s - client.since_s
    match client.phase:
        case Idle() if age_s >= IDLE_TIMEOUT_S:
            return Reason.IDLE
        case ReadingHead() if age_s >= HEAD_TIMEOUT_S:
            return Reason.HEAD_LATE
        case ReadingBody() if age_s >= BODY_TIMEOUT_S:
            return Reason.BODY_LATE
        case _:
            return None
