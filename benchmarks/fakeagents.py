"""Many agents in one process, whose tasks end without a target.

Without the load of targets and HTTP on the machine, a single entry or control
replica can be measured alone.

Usage: python -m benchmarks.fakeagents ENTRY=ADDRESS[,...] PORT COUNT SLOTS
WORK_MS KEY
"""

import asyncio
import secrets
import sys
from typing import Any

from eelgrassworks import agent
from eelgrassworks import clock
from eelgrassworks import effects
from eelgrassworks import links
from eelgrassworks import machines
from eelgrassworks.links import transport

DOMAINS = ('accra-central', 'tema-port', 'kasoa-west')
TICK_S = 0.05


class FakeAgent:
    """An agent whose tasks succeed after a fixed time, without a target."""

    def __init__(
        self, name: str, domain: str, slots: int, link: Any, entries: Any
    ) -> None:
        self.link = link
        self.entries = entries
        self.core = agent.Agent(
            agent.AgentOptions(
                machines.Target(name, name, domain, slots, frozenset()),
                link.sender.incarnation,
                tuple(entries),
                10,
            )
        )
        self.work_s = 0.0

    def start(self) -> None:
        """Connect to the entries and start the periodic tick."""
        self.link.start(self.receive)
        for name, address in self.entries.items():
            self.link.connect(name, address)
        self.tick()

    def tick(self) -> None:
        """Run the periodic work and schedule the next tick."""
        asyncio.get_running_loop().call_later(TICK_S, self.tick)
        self.dispatch(agent.Ticked())
        self.link.tick(clock.read_now())

    def receive(self, frame: links.Frame) -> None:
        """Handle the messages of a frame."""
        sender = frame.sender
        for message in frame.messages:
            event = agent.Received(sender.name, sender.incarnation, message)
            self.dispatch(event)

    def dispatch(self, event: Any) -> None:
        """Handle an event; end each started task after ``work_s``."""
        loop = asyncio.get_running_loop()
        for effect in self.core.handle(event, clock.read_now()):
            match effect:
                case effects.Send(peer, message):
                    self.link.post(peer, message)
                case effects.StartTask(key):
                    ended = agent.TaskEnded(key, True, b'{}')
                    loop.call_later(self.work_s, self.dispatch, ended)
                case _:
                    pass


async def run(arguments: list[str]) -> None:
    """Run the agents until the process is terminated."""
    entries = dict(each.split('=', 1) for each in arguments[0].split(','))
    port, count, slots = map(int, arguments[1:4])
    codec = links.Codec(arguments[5].encode())
    for position in range(count):
        name = f'fake-{port}-{position}'
        address = f'tcp://127.0.0.1:{port + position}'
        sender = links.Sender(name, secrets.randbits(60), address)
        fake_agent = FakeAgent(
            name,
            DOMAINS[position % len(DOMAINS)],
            slots,
            transport.SocketTransport(codec, sender),
            entries,
        )
        fake_agent.work_s = float(arguments[4]) / 1000
        fake_agent.start()
    await asyncio.Event().wait()


if __name__ == '__main__':
    asyncio.run(run(sys.argv[1:]))
