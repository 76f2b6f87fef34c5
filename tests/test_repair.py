"""Automatic repair of a data folder; bounds on logs and metrics."""

import asyncio
from collections.abc import Callable
import errno
import gc
import io
import pathlib
import tempfile
from typing import Any
import unittest

import ddt

from eelgrassworks import controlprocess
from eelgrassworks import exposition
from eelgrassworks import links
from eelgrassworks import logs
from eelgrassworks import settings
from eelgrassworks.links import bus
from eelgrassworks.replication import journal

NAME = '127.0.0.1'
TIMEOUT_S = 10.0
POLL_INTERVAL_S = 0.05


class FailingDisk(journal.SystemDisk):
    """A disk that fails writes with ENOSPC while it is full.

    The next ``failing_syncs`` syncs fail with EIO.
    """

    def __init__(self) -> None:
        self.full = False
        self.failing_syncs = 0

    def sync(self, descriptor: int) -> None:
        """Sync, or fail."""
        if self.failing_syncs:
            self.failing_syncs -= 1
            raise OSError(errno.EIO, 'Input/output error')
        super().sync(descriptor)

    def write(self, descriptor: int, data: bytes) -> int:
        """Write some of the data; return how much."""
        if self.full:
            raise OSError(errno.ENOSPC, 'No space left on device')
        return super().write(descriptor, data)


def damage_journal(folder: pathlib.Path) -> None:
    """Flip the bits of one byte in the first record."""
    path = folder / journal.JOURNAL_NAME
    content = bytearray(path.read_bytes())
    content[journal.RECORD_HEADER.size] ^= 0xFF
    path.write_bytes(bytes(content))


def damage_identity(folder: pathlib.Path) -> None:
    """Truncate the identity file."""
    path = folder / journal.IDENTITY_NAME
    path.write_bytes(path.read_bytes()[:-3])


def remove_identity(folder: pathlib.Path) -> None:
    """Remove the identity file only."""
    (folder / journal.IDENTITY_NAME).unlink()


DAMAGES: tuple[Callable[[pathlib.Path], None], ...] = (
    damage_journal,
    damage_identity,
    remove_identity,
)


class RepairCase(unittest.IsolatedAsyncioTestCase):
    """Creates control processes that share one data folder."""

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)
        self.disk = FailingDisk()

    def make_process(self) -> controlprocess.ControlProcess:
        """Return a control process that repairs its data folder."""
        model = settings.ControlSettings(
            name=NAME,
            vm=settings.VmModel(name='vm', failure_domain='a', region='b'),
            listen='tcp://127.0.0.1:1',
            http=settings.HttpModel(host='127.0.0.1', port=0),
            key='k' * 16,
            data_folder=str(self.folder),
            replicas={NAME: 'tcp://127.0.0.1:1'},
            open_members=True,
            voters=1,
            repair_folder=True,
        )
        if not any(self.folder.iterdir()):
            controlprocess.form_cluster(model, model.replicas)
        sender = links.Sender(NAME, 1, model.listen)
        link = bus.BusTransport(bus.Bus(), links.Codec(b'k'), sender)
        return controlprocess.ControlProcess(model, link, self.disk)

    async def await_leader(
        self, running: controlprocess.ControlProcess, leads: bool = True
    ) -> bool:
        """Wait until the replica leads, or no longer does."""
        for _ in range(int(TIMEOUT_S / POLL_INTERVAL_S)):
            core = running.control
            if (
                core is not None and core.replica.has_committed_in_term()
            ) is leads:
                return True
            await asyncio.sleep(POLL_INTERVAL_S)
        return False


class FullDiskTest(RepairCase):
    async def test_replica_recovers_from_full_disk(self) -> None:
        running = self.make_process()
        await running.start()
        self.addAsyncCleanup(running.finish)
        self.assertTrue(await self.await_leader(running))
        self.disk.full = True
        core: Any = running.control
        running.carry_out(
            [core.replica._write(core.replica.log.last_index, ())]
        )
        self.assertTrue(await self.await_leader(running, leads=False))
        self.assertFalse(running.ended.is_set())
        self.disk.full = False
        self.assertTrue(await self.await_leader(running))


@ddt.ddt
class DamagedFolderTest(RepairCase):
    async def _lead_once(self) -> str:
        running = self.make_process()
        await running.start()
        led = await self.await_leader(running)
        self.assertTrue(led)
        core: Any = running.control
        disk: str = core.replica.options.disk
        await running.finish()
        return disk

    async def test_damaged_folder_is_emptied_and_rejoins(self) -> None:
        for damage in DAMAGES:
            with self.subTest(damage.__name__):
                for path in self.folder.iterdir():
                    path.unlink()
                before = await self._lead_once()
                damage(self.folder)
                running = self.make_process()
                for _ in range(int(TIMEOUT_S / POLL_INTERVAL_S)):
                    if running.control is not None:
                        break
                    await asyncio.sleep(POLL_INTERVAL_S)
                core: Any = running.control
                self.assertNotEqual(core.replica.options.disk, before)
                # It has lost its log and vote and must not be a voter.
                self.assertFalse(core.replica.is_voter)
                await running.close()

    @ddt.data(1, 2, 3, 4)
    async def test_failed_sync_does_not_end_the_repair(
        self, failing_syncs: int
    ) -> None:
        """A disk that fails while its folder is emptied is tried again."""
        before = await self._lead_once()
        damage_journal(self.folder)
        self.disk.failing_syncs = failing_syncs
        running = self.make_process()
        for _ in range(int(TIMEOUT_S / POLL_INTERVAL_S)):
            if running.control is not None:
                break
            await asyncio.sleep(POLL_INTERVAL_S)
        core: Any = running.control
        self.assertEqual(self.disk.failing_syncs, 0)
        self.assertNotEqual(core.replica.options.disk, before)
        self.assertFalse(core.replica.is_voter)
        await running.close()


class StartTest(RepairCase):
    async def test_loaded_objects_are_frozen(self) -> None:
        """A full garbage collection after the start would block the loop."""
        self.addCleanup(gc.unfreeze)
        running = self.make_process()
        running.ended.set()
        before = gc.get_freeze_count()
        await running.run()
        self.assertGreater(gc.get_freeze_count(), before)


class FullPipe(io.StringIO):
    """A stream that raises BlockingIOError while it is full."""

    def __init__(self) -> None:
        super().__init__()
        self.is_full = False

    def write(self, text: str) -> int:
        """Write a text, unless the stream is full."""
        if self.is_full:
            raise BlockingIOError
        return super().write(text)


class BoundTest(unittest.TestCase):
    def test_lines_are_bounded_and_counted(self) -> None:
        stream = io.StringIO()
        writer = logs.Writer(stream, 0.0)
        for _ in range(logs.BURST_LINES + 50):
            writer.write({'message_type': 'busy'}, 0.0)
        lines = stream.getvalue().splitlines()
        self.assertEqual(len(lines), logs.BURST_LINES)
        writer.write({'message_type': 'calm'}, 1.0)
        last = stream.getvalue().splitlines()[-1]
        self.assertIn('omitted_before=50', last)

    def test_full_pipe_does_not_block(self) -> None:
        stream = FullPipe()
        writer = logs.Writer(stream, 0.0)
        stream.is_full = True
        for _ in range(3):
            writer.write({'message_type': 'lost'}, 0.0)
        stream.is_full = False
        writer.write({'message_type': 'told'}, 0.0)
        self.assertIn('omitted_before=3', stream.getvalue())

    def test_exposition_reads_counters_when_asked(self) -> None:
        counters = {'jobs_complete': 3}
        shown = exposition.Exposition(lambda: counters, lambda: {'queued': 2})
        shown.record_latency('read', 0.3)
        counters['jobs_complete'] = 5
        text = shown.render().decode()
        for line in (
            'eelgrassworks_events_total{event="jobs_complete"} 5.0',
            'eelgrassworks_state{name="queued"} 2.0',
            'eelgrassworks_job_seconds_bucket{kind="read",le="0.4"} 1.0',
        ):
            self.assertIn(line, text)


if __name__ == '__main__':
    unittest.main()
