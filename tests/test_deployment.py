"""Tests of the deployments that other tests start."""

import socket
import unittest

from tests import deployment


class PortBlockTest(unittest.TestCase):
    # Guards against two test runs at a time that take the same ports.
    def test_runs_at_a_time_use_different_ports(self) -> None:
        blocks = [deployment.PortBlock() for _ in range(3)]
        for block in blocks:
            self.addCleanup(block.close)
        ports = [port for block in blocks for port in block.find(100)]
        self.assertEqual(len(set(ports)), len(ports))

    def test_run_that_ends_frees_its_ports(self) -> None:
        first = deployment.PortBlock()
        expected = first.first
        first.close()
        second = deployment.PortBlock()
        self.addCleanup(second.close)
        self.assertEqual(second.first, expected)


class StartTest(unittest.IsolatedAsyncioTestCase):
    # Guards against a deployment that goes on without a process that could
    # not use its port.
    async def test_process_that_ends_fails_the_start(self) -> None:
        cluster = deployment.Deployment(entries=1, agents=1)
        with socket.socket() as taken:
            taken.bind(('127.0.0.1', cluster.link['control-2']))
            taken.listen()
            with self.assertRaisesRegex(deployment.ProcessEnded, 'control-2'):
                await cluster.__aenter__()


if __name__ == '__main__':
    unittest.main()
