# SPDX-License-Identifier: Apache-2.0
"""The ochrewayd binary."""

import asyncio
import os
import random
import secrets
import signal
import sys
import time
from collections.abc import Awaitable, Callable
from typing import Any, TypeVar

import aiohttp
import click
from aiohttp import web

from ochreway_core.ids import HallId, Incarnation, NodeId, ScopeId
from ochreway_core.peer import Peer
from ochreway_core.reason import Reason
from ochreway_core.targetkind import TargetKind
from ochreway_core.timing import Timing
from ochreway_daemon.agentshell import AgentShell
from ochreway_daemon.api.callers import CallerApi
from ochreway_daemon.api.health import health_routes
from ochreway_daemon.api.operators import OperatorApi
from ochreway_daemon.entryshell import EntryShell
from ochreway_daemon.legacyrunner import LegacyRunner
from ochreway_daemon.settings import (
    AgentSettings,
    CommonSettings,
    EntrySettings,
    check_settings,
    decode_operator_keys,
    seed_peers,
)
from ochreway_daemon.sharedlimits import SharedLimits
from ochreway_daemon.shell import Shell
from ochreway_direct.main import main as direct_entry
from ochreway_nodes.agent import AgentNode
from ochreway_nodes.controller.repair import REPAIR_POLICIES, RepairTuning
from ochreway_nodes.entry import EntryNode
from ochreway_platform.httpobjectstore import HttpObjectStore
from ochreway_platform.httptable import HttpTable
from ochreway_platform.httptarget import HttpTarget
from ochreway_platform.instancelist import HttpInstanceList
from ochreway_platform.resetaware import ResetAwareConnector
from ochreway_routing.policy import POLICIES
from ochreway_runtime import earlysignals, steadyloop
from ochreway_runtime.checks import format_settings
from ochreway_runtime.clients.clientserver import ClientAppRunner
from ochreway_runtime.clients.socketbuffers import listening_socket
from ochreway_runtime.errors import SettingsInvalid
from ochreway_runtime.logs import EventLog
from ochreway_runtime.metrics import Metrics
from ochreway_runtime.option import option

EXIT_SETTINGS = 2
EXIT_REQUESTS_CUT = 3
EXIT_LISTEN = 4
BACKLOG = 128
"""Connections that wait to be accepted."""

F = TypeVar("F", bound=Callable[..., Any])


_COMMON = (
    option("--name", "", "Name of this instance in the platform's list."),
    option("--hall", "hall-1", "Data hall of this instance."),
    option("--domain", "domain-1", "Fabric domain of this instance."),
    option("--scope", "main", "Scope whose rolled versions are followed."),
    option("--link-listen", "127.0.0.1:7400", "host:port for links of other processes."),
    option("--http-listen", "127.0.0.1:7480", "host:port for HTTP."),
    option("--platform-url", "http://127.0.0.1:7000", "Base URL of the platform's services."),
    option("--link-key", "", "Key that every process of the system shares (secret)."),
    option("--operator-key", (), "NAME=BASE64 public key of an approver.", multiple=True),
    option("--statsd", "", "host:port of a statsd server; empty for none."),
    option("--log-level", "info", "debug, info, warning or error."),
    option("--drain-timeout-s", 900.0, "How long a planned stop waits for requests."),
    option("--link-tick-s", 0.001, "How long frames are gathered into one batch."),
    option("--key-memory-s", 120.0, "How long an idempotency key is remembered."),
    option("--tls-certificate", "", "Certificate of this process for links (PEM)."),
    option("--tls-key", "", "Private key of the certificate (PEM)."),
    option("--tls-authority", "", "Certificate of the authority for links (PEM)."),
    option("--memory-mb", 0.0, "Maximum memory of this process; 0: unbounded."),
    option("--descriptors", 0, "Maximum number of open files and sockets; 0: the system's limit."),
    click.option("--check", "only_check", is_flag=True, help="Print the settings and stop."),
)


def common_options(command: F) -> F:
    """Declare the settings that all daemons share."""
    for each in reversed(_COMMON):
        command = each(command)
    return command


@click.group()
def main() -> None:
    """Run an ochreway process beside callers (entry) or beside a target (agent)."""
    earlysignals.hold_signals()


@main.command()
@common_options
@option(
    "--peer", (), "NAME=HOST:PORT of another entry, asked while the list is away.", multiple=True
)
@option("--operator-token", "", "Token that the ochreway command shows (secret).")
@option("--routing-policy", "cost", "One of: " + ", ".join(sorted(POLICIES)) + ".")
@option("--repair-policy", "expected_cost", "One of: " + ", ".join(sorted(REPAIR_POLICIES)) + ".")
@option("--body-bytes-at-most", 8 * 1024 * 1024, "Longest body of a caller's request.")
@option("--default-deadline-s", 60.0, "Deadline of a request that states none.")
@option("--load-s", 30.0, "How long a group is expected to take to load a model.")
def entry(only_check: bool, **given: Any) -> None:
    """Accept callers' requests, route them and hold controller leases."""
    settings = EntrySettings(**given)
    _validate_or_exit(settings, only_check)
    sys.exit(steadyloop.run(_run_entry(settings)))


@main.command()
@common_options
@option("--target-url", "http://127.0.0.1:8000", "Base URL of the target beside this agent.")
@option("--target-kind", "model", "model or service.")
def agent(only_check: bool, **given: Any) -> None:
    """Manage one target: its group membership, its orders and its requests."""
    settings = AgentSettings(**given)
    _validate_or_exit(settings, only_check)
    sys.exit(steadyloop.run(_run_agent(settings)))


main.add_command(direct_entry, "direct")


def _validate_or_exit(settings: CommonSettings, only_check: bool) -> None:
    try:
        check_settings(settings)
    except SettingsInvalid as error:
        for line in error.faults:
            click.echo(line, err=True)
        sys.exit(EXIT_SETTINGS)
    if only_check:
        click.echo("\n".join(format_settings(settings)))
        sys.exit(0)


def _timing(settings: CommonSettings) -> Timing:
    return Timing(key_memory_s=settings.key_memory_s)


async def _run_entry(settings: EntrySettings) -> int:
    timing = _timing(settings)
    log = EventLog("entry", settings.name, settings.log_level)
    metrics = Metrics(settings.statsd, "entry")
    loop = asyncio.get_running_loop()
    async with aiohttp.ClientSession(connector=ResetAwareConnector(limit=0)) as session:
        base_url, timeout_s = settings.platform_url, timing.table_timeout_s
        node = EntryNode(
            Peer(NodeId(settings.name), settings.link_listen),
            Incarnation(secrets.randbits(48)),
            HallId(settings.hall),
            ScopeId(settings.scope),
            timing,
            decode_operator_keys(settings.operator_key),
            random.Random(),
            loop.time(),
            settings.routing_policy,
            settings.repair_policy,
            RepairTuning(load_s=settings.load_s),
            seed_peers(settings.peer),
        )
        shell = EntryShell(
            settings,
            node,
            HttpTable(session, base_url, timeout_s),
            HttpObjectStore(session, base_url, timeout_s),
            HttpInstanceList(session, base_url, timeout_s),
            LegacyRunner(session, SharedLimits(node.me.node, node.entries)),
            timing,
            log,
            metrics,
        )
        application = web.Application(client_max_size=settings.body_bytes_at_most)
        callers = CallerApi(shell, settings.body_bytes_at_most, settings.default_deadline_s)
        application.add_routes(callers.routes())
        application.add_routes(OperatorApi(shell, settings.operator_token).routes())
        application.add_routes(health_routes(lambda: _why_entry_not_ready(node)))
        return await _serve(shell, application, shell.drain)


def _why_entry_not_ready(node: EntryNode) -> str:
    if node.stopping:
        return "stopping"
    return "" if node.version else "no configuration yet"


async def _run_agent(settings: AgentSettings) -> int:
    timing = _timing(settings)
    log = EventLog("agent", settings.name, settings.log_level)
    metrics = Metrics(settings.statsd, "agent")
    loop = asyncio.get_running_loop()
    node = AgentNode(
        Peer(NodeId(settings.name), settings.link_listen),
        Incarnation(secrets.randbits(48)),
        timing,
        decode_operator_keys(settings.operator_key),
        loop.time(),
        time.time(),
    )
    async with aiohttp.ClientSession(connector=ResetAwareConnector(limit=0)) as session:
        target = HttpTarget(session, settings.target_url, TargetKind(settings.target_kind))
        shell = AgentShell(settings, node, target, timing, log, metrics)
        application = web.Application()
        application.add_routes(health_routes(lambda: _why_agent_not_ready(node, loop.time())))
        return await _serve(shell, application, shell.drain)


def _why_agent_not_ready(node: AgentNode, now_s: float) -> str:
    if not node.membership.leads:
        return "" if node.membership.ready(now_s) else "not ready"
    reason = node.membership.closed_because(now_s)
    return "" if reason is Reason.NONE else reason.value


async def _serve(
    shell: Shell, application: web.Application, drain: Callable[[], Awaitable[bool]]
) -> int:
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in earlysignals.STOP_SIGNALS:
        loop.add_signal_handler(signal_number, stop.set)
    loop.add_signal_handler(signal.SIGHUP, lambda: shell.log.event("hang_up"))
    if earlysignals.stop_requested_s() is not None:
        stop.set()
    try:
        await shell.start()
    except OSError as error:
        return await _cannot_listen(shell, shell.settings.link_listen, error)
    clients = shell.clients
    runner = ClientAppRunner(
        application,
        *(clients.account, clients.listener),
        handler_cancellation=True,
        shutdown_timeout=1.0,
    )
    await runner.setup()
    host, _, port = shell.settings.http_listen.rpartition(":")
    try:
        await web.SockSite(runner, listening_socket(host, int(port), BACKLOG)).start()
    except OSError as error:
        await runner.cleanup()
        return await _cannot_listen(shell, shell.settings.http_listen, error)
    shell.log.event("started", pid=os.getpid(), http=shell.settings.http_listen)
    await stop.wait()
    shell.log.event("stopping")
    drained = await drain()
    await runner.cleanup()
    await shell.stop()
    shell.log.event("stopped", drained=drained)
    return 0 if drained else EXIT_REQUESTS_CUT


async def _cannot_listen(shell: Shell, address: str, error: OSError) -> int:
    shell.log.fault("cannot_listen", address=address, cause=error)
    await shell.stop()
    return EXIT_LISTEN


if __name__ == "__main__":
    main()
