"""What clients may hold: tables of sizes and times, without a network."""

import dataclasses
import unittest

import ddt

from eelgrassworks import intake

KIB = 1024
LIMITS = intake.Limits(budget_bytes=1024 * KIB, connections=3)
# Bodies that fill the part of the budget for large ones, and the whole of it.
LARGE_SHARE_BODY = 384 * KIB
SMALL_BODY = 32 * KIB


@dataclasses.dataclass(frozen=True)
class Body:
    """A client that has sent so much of a body, and when."""

    number: int
    size: int
    at_s: float
    is_whole: bool = False


# Title; bodies that others hold at the time 10; size of the body that client
# 9 asks for; whether it is admitted, and the clients that are closed for it.
ADMISSIONS: tuple[tuple[str, tuple[Body, ...], int, bool, list[int]], ...] = (
    ('nobody else', (), LARGE_SHARE_BODY, True, []),
    ('largest body of the product', (), 8 * KIB * KIB, False, []),
    ('room is left', (Body(1, SMALL_BODY, 9.9),), SMALL_BODY, True, []),
    (
        'the others make progress',
        (Body(1, LARGE_SHARE_BODY, 9.9),),
        LARGE_SHARE_BODY,
        False,
        [],
    ),
    (
        'small bodies have a part of their own',
        (Body(1, LARGE_SHARE_BODY, 9.9),),
        SMALL_BODY,
        True,
        [],
    ),
    (
        'a client that stopped makes room',
        (Body(1, LARGE_SHARE_BODY, 9.0),),
        LARGE_SHARE_BODY,
        True,
        [1],
    ),
    (
        'no more are closed than needed, the oldest first',
        (
            Body(1, LARGE_SHARE_BODY // 2, 8.0),
            Body(2, LARGE_SHARE_BODY // 2, 7.0),
        ),
        LARGE_SHARE_BODY // 2,
        True,
        [2],
    ),
    (
        'nobody is closed for a client that is refused all the same',
        (
            Body(1, LARGE_SHARE_BODY, 1.0, is_whole=True),
            Body(2, 1, 9.0),
            Body(3, 1, 9.0),
        ),
        LARGE_SHARE_BODY,
        False,
        [],
    ),
    (
        'a request that was read is never closed',
        (Body(1, LARGE_SHARE_BODY, 1.0, is_whole=True),),
        LARGE_SHARE_BODY,
        False,
        [],
    ),
)

# Title; phase at the time 0; time; whether and why the client is closed.
EXPIRIES: tuple[tuple[str, intake.Phase, float, intake.Reason | None], ...] = (
    ('idle within the limits', intake.Idle(), 15.0, None),
    ('idle', intake.Idle(), 20.0, intake.Reason.IDLE),
    ('head within the limits', intake.ReadingHead(), 3.0, None),
    ('late head', intake.ReadingHead(), 5.0, intake.Reason.HEAD_LATE),
    ('body within the limits', intake.ReadingBody(), 15.0, None),
    ('late body', intake.ReadingBody(), 30.0, intake.Reason.BODY_LATE),
    ('a request that was read', intake.Handling(), 1e6, None),
)

# Title; pieces of what is sent; the size of the head, or -1 without an end,
# and the bytes of the last piece that follow it.
HEADS: tuple[tuple[str, tuple[bytes, ...], int, int], ...] = (
    ('whole', (b'GET / HTTP/1.1\r\n\r\n',), 18, 0),
    ('with a body', (b'GET / HTTP/1.1\r\n\r\nbody',), 18, 4),
    ('end in parts', (b'GET /\r', b'\n', b'\r', b'\nxy'), 9, 2),
    ('empty lines before it', (b'\r\n\r\n', b'\r\n', b'GET /\r\n\r\n'), 15, 0),
    ('empty lines alone', (b'\r\n\r\n', b'\r\n\r\n'), -1, 0),
    ('without an end', (b'GET /\r\n', b'a: b\r\n'), -1, 0),
)


@ddt.ddt
class IntakeTest(unittest.TestCase):
    """Decisions about memory, connections and time."""

    def setUp(self) -> None:
        self.intake = intake.Intake(LIMITS)

    # Guards against memory without a bound, and against ordinary callers who
    # pay for the clients that hold it.
    @ddt.idata(ADMISSIONS)
    @ddt.unpack
    def test_body_is_admitted(
        self,
        _: str,
        others: tuple[Body, ...],
        size: int,
        admitted: bool,
        closed: list[int],
    ) -> None:
        for body in others:
            self.intake.open(body.number, body.at_s)
            cost = intake.find_cost(0, body.size)
            self.intake.read_body(body.number, cost, body.at_s)
            if body.is_whole:
                self.intake.read_all(body.number, cost, body.at_s)
        self.intake.open(9, 10.0)
        closings = self.intake.make_way(9, size, 10.0)
        self.assertEqual([each.number for each in closings], closed)
        self.assertEqual(self.intake.is_admitted(9, size), admitted)

    # Guards against connections that stay open for ever, and against clients
    # inside the limits that are closed.
    @ddt.idata(EXPIRIES)
    @ddt.unpack
    def test_time_ends(
        self,
        _: str,
        phase: intake.Phase,
        now_s: float,
        reason: intake.Reason | None,
    ) -> None:
        client = intake.Client(phase, 0.0, 0.0)
        self.assertEqual(intake.find_expiry(client, now_s), reason)

    @ddt.idata(HEADS)
    @ddt.unpack
    def test_head_ends(
        self, _: str, pieces: tuple[bytes, ...], size: int, rest: int
    ) -> None:
        """Guards against a head that is counted as a body, or the reverse."""
        scanner = intake.HeadScanner()
        ends = [scanner.find_end(piece) for piece in pieces]
        self.assertEqual(ends[:-1], [-1] * (len(pieces) - 1))
        if size < 0:
            self.assertEqual(ends[-1], -1)
            return
        self.assertEqual(scanner.size, size)
        self.assertEqual(len(pieces[-1]) - ends[-1], rest)

    def test_growing_body_ends_at_the_budget(self) -> None:
        """Guards against bodies without a declared length."""
        self.intake.open(1, 0.0)
        over = intake.find_cost(0, LARGE_SHARE_BODY + 1)
        closings = self.intake.read_body(1, over, 0.1)
        expected = [intake.Closing(1, intake.Reason.MEMORY)]
        self.assertEqual(closings, expected)
        self.assertEqual(self.intake.cost_bytes, 0)

    def test_head_over_the_limit(self) -> None:
        """Guards against heads, or empty lines, without end."""
        self.intake.open(1, 0.0)
        self.assertFalse(self.intake.read_head(1, 16_384, 0.1))
        closings = self.intake.read_head(1, 16_385, 0.2)
        expected = [intake.Closing(1, intake.Reason.HEAD_TOO_LARGE)]
        self.assertEqual(closings, expected)

    def test_connections_are_bounded(self) -> None:
        """Guards against a process without free descriptors."""
        for number in range(3):
            self.intake.open(number, number / 10)
            self.intake.read_all(number, 0, number / 10)
            self.intake.finish(number, number / 10)
        self.intake.read_head(2, 10, 0.2)
        # Nobody has been idle for long, and all have sent a request.
        refused = self.intake.open(3, 0.3)
        self.assertEqual([each.number for each in refused], [3])
        # The unfinished request goes before idle connections.
        for now_s, expected in ((5.0, 2), (5.1, 0), (5.2, 1)):
            number = round(now_s * 10)
            closings = self.intake.open(number, now_s)
            self.assertEqual([each.number for each in closings], [expected])
            self.assertEqual(self.intake.connections, 3)

    def test_crowd_that_connects_at_once(self) -> None:
        """Guards against an ordinary caller who is kept out by a crowd.

        All connections of the crowd are too young to be stalled.
        """
        for number in range(20):
            self.intake.open(number, 0.0)
        closings = self.intake.open(20, 0.01)
        self.assertEqual([each.number for each in closings], [17])
        self.assertEqual(self.intake.connections, 3)

    def test_cost_is_released(self) -> None:
        """Guards against a budget that answered requests use up."""
        self.intake.open(1, 0.0)
        cost = intake.find_cost(100, SMALL_BODY)
        self.intake.read_all(1, cost, 0.0)
        self.assertEqual(self.intake.cost_bytes, cost)
        self.intake.finish(1, 0.1)
        self.assertEqual(self.intake.cost_bytes, 0)

    def test_small_chunks_count_by_what_they_cost(self) -> None:
        """Guards against chunks of one byte, charged as one byte."""
        plain = intake.find_cost(0, 1000)
        chunked = intake.find_cost(0, 1000, unread_chunk_bytes=6000)
        self.assertGreaterEqual(chunked - plain, 60_000)


@ddt.ddt
class LimitsTest(unittest.TestCase):
    """The bounds that a process takes."""

    @ddt.data((4096, 1024), (128, 64), (1, 1), (-1, 1024))
    @ddt.unpack
    def test_connections(self, descriptors: int, connections: int) -> None:
        """Guards against a bound above what the process may open."""
        self.assertEqual(intake.limit_connections(descriptors), connections)

    @ddt.data(262_144, 1024 * KIB, 4096 * KIB, 8192 * KIB)
    def test_largest_body_is_admitted_in_calm(self, size: int) -> None:
        """Guards against a budget that a client inside the limits meets."""
        taken = intake.Intake(intake.Limits())
        taken.make_room(size)
        taken.open(1, 0.0)
        self.assertTrue(taken.is_admitted(1, size))
        cost = intake.find_cost(16_384, size, unread_chunk_bytes=size * 6)
        self.assertEqual(taken.read_body(1, cost, 0.0), [])


if __name__ == '__main__':
    unittest.main()
