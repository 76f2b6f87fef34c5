"""The processes of the roles that run on the platform."""

import asyncio
import secrets
import socket
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
INCARNATION_BITS: Final = 48
# Longer than the interval between renewals to an idle entry, with which
# heartbeats and echoes travel.
HEARTBEAT_INTERVAL_S: Final = 0.45
# On a healthy connection the latest contact is at most two such intervals old.
CONTACT_TIMEOUT_S: Final = 1.2


def make_link(name: str, address: str) -> transport.SocketTransport:
    """Return the transport of a process."""
    return transport.SocketTransport(
        links.Codec(nodefile.LINK_KEY.encode()),
        # The low 8 bits count the incarnations of the target during one run
        # of an agent process.
        links.Sender(name, secrets.randbits(INCARNATION_BITS) << 8, address),
        HEARTBEAT_INTERVAL_S,
        CONTACT_TIMEOUT_S,
    )


def make_control(
    node: wire.NodeFile, _: socket.socket | None = None
) -> process.Process:
    """Return a control replica, or a relay on a machine without a disk.

    Either has the front end for operators.
    """
    if not node.data_dir:
        return _make_relay(node)
    from eelgrassworks import controlprocess
    from eelgrassworks.platform import operatorapi
    from eelgrassworks.replication import journal

    options = nodefile.make_control(node)
    if node.first_start and options.name in nodefile.list_replicas(node):
        controlprocess.form_cluster(options, nodefile.list_replicas(node))
    daemon = controlprocess.ControlProcess(
        options, make_link(options.name, options.listen), journal.SystemDisk()
    )
    daemon.fronts.append(operatorapi.OperatorApi(daemon, node))
    return daemon


def _make_relay(node: wire.NodeFile) -> process.Process:
    from eelgrassworks import relayprocess
    from eelgrassworks.platform import operatorapi

    options = nodefile.make_control(node)
    if node.first_start and options.name in nodefile.list_replicas(node):
        logs.log(
            'seed_without_disk',
            seed=options.name,
            remedy='list machines with a disk first: the seeds of the first '
            'start form the group of replicas',
        )
    daemon = relayprocess.RelayProcess(
        options, make_link(options.name, options.listen)
    )
    daemon.fronts.append(operatorapi.OperatorApi(daemon, node))
    return daemon


def make_entry(
    node: wire.NodeFile, _: socket.socket | None = None
) -> process.Process:
    """Return an entry with the front ends for callers."""
    from eelgrassworks import entryprocess
    from eelgrassworks.fronts import entryapi
    from eelgrassworks.platform import ingress

    options = nodefile.make_entry(node)
    daemon = entryprocess.EntryProcess(
        options,
        make_link(options.name, options.listen),
        claims_transient=True,
    )
    daemon.fronts.append(entryapi.EntryApi(daemon))
    daemon.fronts.append(ingress.Ingress(daemon, node))
    return daemon


def make_agent(
    node: wire.NodeFile, listener: socket.socket | None = None
) -> process.Process:
    """Return an agent with the front end for its target's reports.

    The front end uses ``listener`` if one is already open.
    """
    from eelgrassworks import heldagentprocess
    from eelgrassworks.machines import heldtarget
    from eelgrassworks.platform import targetlink
    from eelgrassworks.platform import targetreports

    options = heldagentprocess.HeldAgentOptions(
        node.node,
        nodefile.make_worker(node),
        nodefile.list_replicas(node),
        nodefile.make_agent_http(node),
        nodefile.read_max_target_lease_s(node, heldtarget.MAX_LEASE_S),
        nodefile.make_features(node),
    )
    daemon = heldagentprocess.HeldAgentProcess(
        options,
        make_link(node.node, nodefile.make_agent_address(node)),
        targetlink.HttpTargetLink(node.app or ''),
    )
    daemon.fronts.append(targetreports.TargetReportApi(daemon, node, listener))
    return daemon


ROLES: Final = {
    'agent': make_agent,
    'control': make_control,
    'entry': make_entry,
}


async def _run(role: str, listener: socket.socket | None) -> int:
    try:
        node = nodefile.read_node_file()
        daemon = ROLES[role](node, listener)
        daemon.fronts.append(seeds.SeedWatcher(daemon, node.seeds))
        daemon.watch_signals()
        return await daemon.run()
    except errors.Fault as fault:
        logs.log('fault', reason=str(fault))
    except OSError as error:
        logs.log('fault', reason=f'{error}; check the addresses')
    return EXIT_FAULT


def run(role: str, listener: socket.socket | None) -> int:
    """Run a role until it ends; return the exit status."""
    return asyncio.run(_run(role, listener))
