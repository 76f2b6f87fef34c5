"""Entries that wait for the owner of a job, and the first set of homes."""

import unittest

import ddt
import msgspec

from eelgrassworks import attachments
from eelgrassworks import contracts
from eelgrassworks import entry
from eelgrassworks.contracts import jobs
from eelgrassworks.links import messages
from eelgrassworks.trials import virtual
from tests import test_transient
from tests import worlds

# Tasks of a job, the age of the submission that waits for it at another entry
# relative to its own, in seconds, and whether the owner gives the job up.
WAITING: tuple[tuple[int, float, bool], ...] = (
    (4, -0.5, False),
    (24, -0.5, True),
    (24, 0.5, False),
)
# The replicas that cannot apply the command, and the version of the homes.
EARLIER_REPLICAS: tuple[tuple[tuple[str, ...], int], ...] = (
    ((), 1),
    (('control-2',), 0),
)


class MixedWorld(virtual.World):
    """A world some of whose replicas are of an earlier version."""

    earlier: tuple[str, ...] = ()

    def _deliver(
        self, sender: virtual.Node, peer: str, message: object, delay_s: float
    ) -> None:
        if sender.name in self.earlier and isinstance(
            message, messages.AppendResponse
        ):
            message = msgspec.structs.replace(message, knows_homes=False)
        super()._deliver(sender, peer, message, delay_s)


@ddt.ddt
class OwnerTest(unittest.TestCase):
    # Guards against an owner that gives its job up to an earlier submission,
    # whose caller has left.
    @ddt.data(*WAITING)
    @ddt.unpack
    def test_job_gives_way_to_a_later_submission(
        self, tasks: int, older_s: float, moves: bool
    ) -> None:
        world = test_transient.make_world()
        request = test_transient.submit(world, 'entry-1', tasks=tasks)
        world.run(1.0)
        table = world.nodes['entry-1'].core.table
        (job,) = table.list_open()
        attach = messages.AttachRequest(
            7,
            job.submission.id,
            'digest',
            'callers',
            round((1.0 + older_s) * 1000),
        )
        world.give('entry-1', entry.Received('entry-2', 1, (attach,)))
        self.assertEqual(request in world.replies, moves)

    # Guards against an error of an entry that waits for an owner although
    # the caller of the job has left, since another entry waits for it too.
    def test_job_without_a_caller_waits_for_its_owner(self) -> None:
        submission = contracts.Submission(
            'job/1-1', '', 'callers', 'read', (b'',), 1.0, False, True
        )
        job = jobs.Job(submission, 0.0, 1.0)
        effects = attachments.Attachments().attach(job, 'b', 'job/2-1', 0.5)
        self.assertEqual(len(effects), 1)

    # Guards against a command of the log that replicas of an earlier version
    # cannot apply.
    @ddt.data(*EARLIER_REPLICAS)
    @ddt.unpack
    def test_homes_wait_for_replicas_of_this_version(
        self, earlier: tuple[str, ...], version: int
    ) -> None:
        world = MixedWorld(1)
        world.earlier = earlier
        world.add_control(worlds.CONTROLS, voters=len(worlds.CONTROLS))
        for name in worlds.ENTRIES:
            world.add_entry(name, worlds.CONTROLS)
        world.run(6.0)
        leader = world.nodes[worlds.find_leader(world)].core
        self.assertEqual(leader.ledger.homes.version, version)


if __name__ == '__main__':
    unittest.main()
