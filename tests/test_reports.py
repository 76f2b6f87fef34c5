"""Lines on states that last."""

import unittest

import ddt

from eelgrassworks.replication import reports

# Title, then the time in seconds, the peer and the reason of each report, and
# the times at which a line is written.
SCRIPTS: tuple[
    tuple[str, tuple[tuple[float, str, str], ...], tuple[float, ...]], ...
] = (
    (
        'a state that stays is repeated at an interval',
        ((0.0, 'a', 'x'), (2.0, 'a', 'x'), (5.0, 'a', 'x')),
        (0.0, 5.0),
    ),
    (
        'a state that changes is written at once',
        ((0.0, 'a', 'x'), (1.0, 'a', 'y')),
        (0.0, 1.0),
    ),
    (
        'changes in quick succession are left out',
        ((0.0, 'a', 'x'), (0.1, 'a', 'y'), (0.2, 'a', 'x')),
        (0.0,),
    ),
    (
        'states of two peers do not hide each other',
        ((0.0, 'a', 'x'), (0.1, 'b', 'y'), (0.2, 'a', 'x'), (0.3, 'b', 'y')),
        (0.0, 0.1),
    ),
)


@ddt.ddt
class ReportsTest(unittest.TestCase):
    @ddt.data(*SCRIPTS)
    @ddt.unpack
    def test_script(
        self,
        _: str,
        script: tuple[tuple[float, str, str], ...],
        expected: tuple[float, ...],
    ) -> None:
        """Guards against a log that fills, or lacks, lines on a state."""
        written = reports.Reports()
        times_s = tuple(
            now_s
            for now_s, peer, reason in script
            if written.report('refused', {'reason': reason}, now_s, peer)
        )
        self.assertEqual(times_s, expected)


if __name__ == '__main__':
    unittest.main()
