"""Logs whose entries are large: catch-up within bounded frames."""

import random
import unittest

import ddt

from eelgrassworks import contracts
from eelgrassworks import control
from eelgrassworks import entry
from eelgrassworks import links
from eelgrassworks.links import codec
from eelgrassworks.links import messages
from eelgrassworks.trials import virtual
from tests import worlds

DOCUMENT_BYTES = 1024 * 1024
# More than one frame may contain, and fewer entries than a snapshot needs.
CHANGES = 24
VOTERS = 3
AWAY = 'control-3'
JOINING = 'control-4'


def make_world() -> virtual.World:
    """Return a world whose links reject what the real ones reject."""
    world = virtual.World(1)
    world.add_control(worlds.CONTROLS, voters=VOTERS)
    world.add_entry('entry-1', worlds.CONTROLS)
    frames = links.Codec(b'key')
    route = world.router

    def route_encoded(
        sender: str, receiver: str, message: object
    ) -> list[float]:
        data = frames.encode_frame(links.Sender(sender, 1, ''), [message])
        try:
            frames.decode_frame(data)
        except codec.FrameRejected:
            return []
        return route(sender, receiver, message)

    world.router = route_encoded
    worlds.await_leader(world)
    if worlds.find_leader(world) == AWAY:
        world.kill(AWAY)
        world.run(3.0)
        world.start(AWAY)
    world.run(1.0)
    return world


def commit_documents(world: virtual.World, count: int = CHANGES) -> None:
    """Commit sheets with documents that cannot be compressed."""
    source = random.Random(1)
    for number in range(count):
        document = source.randbytes(DOCUMENT_BYTES)
        change = contracts.ReplaceSheet(number + 2, worlds.SHEET, document)
        verdict = worlds.change(
            world, 'entry-1', change, contracts.ANY_REVISION, f'c-{number}'
        )
        if not isinstance(verdict.verdict, contracts.ChangeAccepted):
            raise AssertionError(f'change {number}: {verdict}')


def cut_off(world: virtual.World, name: str) -> None:
    """Cut a replica off from the others."""
    others = (*worlds.CONTROLS, 'entry-1')
    world.cut |= {(name, other) for other in others}
    world.cut |= {(other, name) for other in others}


@ddt.ddt
class CatchUpTest(unittest.TestCase):
    @ddt.data('killed', 'disk lost', 'cut off', 'joins')
    def test_replica_catches_up_with_more_than_one_frame(
        self, reason: str
    ) -> None:
        """Guards against a catch-up in frames that every receiver rejects."""
        world = make_world()
        name = AWAY
        match reason:
            case 'cut off':
                cut_off(world, name)
            case 'joins':
                name = JOINING
            case _:
                world.kill(name)
        commit_documents(world)
        match reason:
            case 'cut off':
                world.cut.clear()
            case 'joins':
                world.join_control(name, worlds.CONTROLS, voters=VOTERS + 1)
            case 'disk lost':
                world.lose_disk(name)
                world.start(name)
            case _:
                world.start(name)
        replica = world.nodes[name].core.replica
        leader = world.nodes[worlds.find_leader(world)].core.replica
        caught_up = world.run_until(
            lambda: replica.commit_index == leader.commit_index, 4.0
        )
        self.assertTrue(caught_up, replica.describe(world.now_s))
        if reason != 'joins':
            world.run(2.0)
            self.assertTrue(replica.is_voter)

    def test_large_entries_in_flight_are_bounded(self) -> None:
        """Guards against a leader that sends all it has with each answer."""
        world = make_world()
        world.kill(AWAY)
        commit_documents(world)
        route = world.router
        sent_bytes = 0

        def count(sender: str, receiver: str, message: object) -> list[float]:
            nonlocal sent_bytes
            if receiver == AWAY and isinstance(
                message, messages.AppendRequest
            ):
                sent_bytes += sum(
                    len(entry.command[1]) for entry in message.entries
                )
            return route(sender, receiver, message)

        world.router = count
        world.start(AWAY)
        world.run(4.0)
        replica = world.nodes[AWAY].core.replica
        self.assertTrue(replica.is_voter)
        # Each entry is sent once, and a few again after a lost frame.
        self.assertLess(sent_bytes, 1.5 * CHANGES * DOCUMENT_BYTES)

    @ddt.data(('local', 7, True), ('local', 17, False), ('entry', 7, True))
    @ddt.unpack
    def test_change_that_fits_into_no_frame_is_refused(
        self, origin: str, size_mib: int, accepted: bool
    ) -> None:
        """Guards against an entry that no other replica can receive."""
        world = make_world()
        leader = worlds.find_leader(world)
        document = bytes(size_mib * 1024 * 1024)
        change = contracts.ReplaceSheet(1, worlds.SHEET, document)
        request = contracts.ChangeRequest(
            'large', 'ama', contracts.ANY_REVISION, change
        )
        if origin == 'local':
            number = world.ask(
                leader, lambda n: control.ChangeRequested(n, request)
            )
        else:
            number = world.ask(
                'entry-1', lambda n: entry.ChangeRequested(n, request)
            )
        world.run_until(lambda: number in world.replies, 5.0)
        verdict = world.replies[number][1]
        if origin == 'entry':
            verdict = verdict.verdict
        expected = (
            contracts.ChangeAccepted if accepted else contracts.ChangeInvalid
        )
        self.assertIsInstance(verdict, expected)
        commit_documents(world, 2)


if __name__ == '__main__':
    unittest.main()
