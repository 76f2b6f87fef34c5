"""Runs one role of eelgrassworks on the platform.

``python3 -m eelgrassworks.platform entry|control|agent``
"""

import asyncio
import secrets
import sys
from typing import Final

from eelgrassworks import errors
from eelgrassworks import links
from eelgrassworks import logs
from eelgrassworks import process
from eelgrassworks.links import transport
from eelgrassworks.platform import nodefile
from eelgrassworks.platform import seeds
from eelgrassworks.platform import wire

EXIT_FAULT: Final = 1
EXIT_USAGE: Final = 2
RUN_BITS: Final = 48
# A silent connection is replaced before the leases that it carries end.
HEARTBEAT_S: Final = 0.2
SILENCE_S: Final = 0.6


def make_link(name: str, address: str) -> transport.SocketTransport:
    """Return the sockets of a process."""
    return transport.SocketTransport(
        links.Codec(nodefile.LINK_KEY.encode()),
        # Room below for the lives of a target that one agent process sees.
        links.Sender(name, secrets.randbits(RUN_BITS) << 8, address),
        HEARTBEAT_S,
        SILENCE_S,
    )


def make_control(node: wire.NodeFile) -> process.Process:
    """Return a control replica with the operators' front end."""
    from eelgrassworks import controlprocess
    from eelgrassworks.platform import operatorapi
    from eelgrassworks.replication import journal

    model = nodefile.make_control(node)
    if node.first_start and model.name in nodefile.list_replicas(node):
        controlprocess.form_cluster(model, nodefile.list_replicas(node))
    running = controlprocess.ControlProcess(
        model, make_link(model.name, model.listen), journal.SystemDisk()
    )
    running.fronts.append(operatorapi.OperatorApi(running, node))
    return running


def make_entry(node: wire.NodeFile) -> process.Process:
    """Return an entry with the callers' front end."""
    from eelgrassworks import entryprocess
    from eelgrassworks.fronts import entryapi
    from eelgrassworks.platform import ingress

    model = nodefile.make_entry(node)
    running = entryprocess.EntryProcess(
        model, make_link(model.name, model.listen)
    )
    running.fronts.append(entryapi.EntryApi(running))
    running.fronts.append(ingress.Ingress(running, node))
    return running


def make_agent(node: wire.NodeFile) -> process.Process:
    """Return an agent with the front end of the target beside it."""
    from eelgrassworks import heldagentprocess
    from eelgrassworks.platform import reports
    from eelgrassworks.platform import runnerlink

    options = heldagentprocess.HeldAgentOptions(
        node.node,
        nodefile.make_worker(node),
        nodefile.list_replicas(node),
        nodefile.make_agent_http(node),
    )
    running = heldagentprocess.HeldAgentProcess(
        options,
        make_link(node.node, nodefile.make_agent_address(node)),
        runnerlink.RunnerLink(node.app or ''),
    )
    running.fronts.append(reports.Reports(running, node))
    return running


ROLES: Final = {
    'agent': make_agent,
    'control': make_control,
    'entry': make_entry,
}


async def _run(role: str) -> int:
    try:
        node = nodefile.read_node_file()
        running = ROLES[role](node)
        running.fronts.append(seeds.Seeds(running, node.seeds))
        running.watch_signals()
        return await running.run()
    except errors.Fault as fault:
        logs.log('fault', reason=str(fault))
    except OSError as error:
        logs.log('fault', reason=f'{error}; check the addresses')
    return EXIT_FAULT


def main() -> None:
    """Run the role that the first argument names."""
    role = sys.argv[1] if len(sys.argv) == 2 else ''
    if role not in ROLES:
        sys.stderr.write(f'name one role: {", ".join(ROLES)}\n')
        sys.exit(EXIT_USAGE)
    logs.start_logging(sys.stdout, role=role)
    sys.exit(asyncio.run(_run(role)))


if __name__ == '__main__':
    main()
