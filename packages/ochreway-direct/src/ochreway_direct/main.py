# SPDX-License-Identifier: Apache-2.0
"""The command that runs a direct entry."""

import asyncio
import importlib
import os
import signal
import sys
from typing import Any

import aiohttp
import click
from aiohttp import web

from ochreway_direct import earlylistener
from ochreway_direct.delivery.plannedstop import PlannedStop
from ochreway_direct.earlylistener import BACKLOG
from ochreway_direct.entry import DirectEntry
from ochreway_direct.lazymetricspage import LazyMetricsPage
from ochreway_direct.ports.platformservices import ADAPTERS
from ochreway_direct.relay.callerserver import CallerServer
from ochreway_direct.relay.idlelimits import IdleLimits
from ochreway_direct.relay.relay import Relay
from ochreway_direct.relay.targetconnections import TargetConnections
from ochreway_direct.relay.targetprotocol import TargetConnector
from ochreway_direct.relay.targetsession import target_session
from ochreway_direct.relay.tuning import RelayTuning
from ochreway_direct.settings import DirectSettings, check
from ochreway_direct.timing import DirectTiming
from ochreway_direct.versions.firstconfiguration import wait_for_first_configuration
from ochreway_runtime import earlysignals, steadyloop
from ochreway_runtime.checks import format_settings
from ochreway_runtime.clients.clientserver import ClientServer
from ochreway_runtime.clients.listener import MAX_PROBE_CONNECTIONS, Listener
from ochreway_runtime.clients.socketbuffers import listening_socket
from ochreway_runtime.errors import SettingsInvalid
from ochreway_runtime.logs import EventLog
from ochreway_runtime.metrics import Metrics
from ochreway_runtime.option import option

EXIT_SETTINGS = 2
EXIT_LISTEN = 4
READINESS = Listener("readiness", MAX_PROBE_CONNECTIONS)
METRICS = Listener("metrics", MAX_PROBE_CONNECTIONS)


@click.command()
@option("--name", "", "Name of this instance.")
@option("--hall", "hall-1", "Data hall of this instance.")
@option("--adapter", "", "Platform adapter module, which registers itself under its name.")
@option("--caller-listen", "127.0.0.1:7480", "host:port for callers.")
@option("--ready-listen", "127.0.0.1:7481", "host:port for readiness checks.")
@option("--link-listen", "127.0.0.1:7400", "host:port for links from other entries.")
@option("--platform-url", "http://127.0.0.1:7000", "Base URL of the platform's services.")
@option("--peer", "", "Comma-separated host:port of other entries' links.")
@option("--link-key", "", "Key shared by all processes of the system (secret).")
@option("--statsd", "", "host:port of a statsd server; empty for none.")
@option("--metrics-listen", "", "host:port for the counters as text; empty for none.")
@option("--log-level", "info", "debug, info, warning or error.")
@option("--key-revoke-ms", 5000, "Time within which a revoked key must no longer be accepted.")
@option(
    "--keys-fail-closed",
    True,
    "Refuse keys without a recent proof that the configuration is the newest.",
    type=bool,
)
@option("--drain-ms", 2000, "How long a target still serves after it was listed as leaving.")
@option("--retry-ratio", 0.2, "Bound on retries, as a share of requests.")
@option("--retry-slack", 200.0, "Bound on retries beyond that share, over all entries.")
@option("--grace-s", 8.0, "How long a planned stop may take.")
@option("--loads-window-s", 5.0, "Window in which the number of weight loads is bounded.")
@option(
    "--loads-excess", 1.1, "Bound on weight loads in a window, relative to the configured rate."
)
@option(
    "--first-start",
    False,
    "First start of the whole site: weight loads are not bounded before the first request.",
    type=bool,
)
@option("--processor-share", 1.0, "Share of a core that this process may use.")
@option("--processor-speed", 1.0, "Speed of that core, relative to a usual one.")
@option("--hall-drain-ms", 5000, "Time within which a drained hall gets no new requests.")
@option(
    "--cold-excess", 1.0, "Bound on requests to a cold target, relative to its configured rate."
)
@option("--cold-slack", 0.0, "Additional requests that a cold target may get in any second.")
@option("--region", "", "Region of this instance; empty where regions do not matter.")
@option("--hall-regions", "", "Comma-separated hall=region pairs of all halls.")
@option("--descriptors", 0, "Maximum number of open files and sockets; 0: unbounded.")
@option("--memory-mb", 0.0, "Maximum memory of this process; 0: unbounded.")
@option("--max-answer-mb", 32.0, "Longest answer that is not a stream.")
@option("--link-mbps", 0.0, "Bandwidth of this instance's link; 0: unknown.")
@option(
    "--min-groups", 0, "Groups that each model with callers keeps before any gets more; 0: off."
)
@option("--without", "", "Comma-separated mechanisms to disable; for measurements.")
@click.option("--check", "only_check", is_flag=True, help="Print the settings and stop.")
def main(only_check: bool, **options: Any) -> None:
    """Accept callers' requests and send them directly to targets."""
    for name in ("peer", "without", "hall_regions"):
        options[name] = tuple(each for each in options[name].split(",") if each)
    settings = DirectSettings(**options)
    try:
        check(settings)
    except SettingsInvalid as fault:
        for line in fault.faults:
            click.echo(line, err=True)
        sys.exit(EXIT_SETTINGS)
    if only_check:
        click.echo("\n".join(format_settings(settings)))
        return
    exit_code = steadyloop.run(run(settings))
    # Another signal must not end the process before its log is written.
    earlysignals.hold_signals()
    sys.exit(exit_code)


async def run(settings: DirectSettings) -> int:
    """Run until a signal requests a stop; return the exit code."""
    earlylistener.close_other_sockets(settings.caller_listen)
    log = EventLog("entry", settings.name, settings.log_level)
    metrics = Metrics(settings.statsd, "entry")
    importlib.import_module(settings.adapter)
    stop = asyncio.Event()
    _handle_signals(stop, log)
    jar = aiohttp.DummyCookieJar()
    idle_limits = IdleLimits()
    target_connector = TargetConnector(lambda: metrics.count("connections.target"), idle_limits)
    single_connector = TargetConnector(
        lambda: metrics.count("connections.single"), keep_alive=False
    )
    platform_connector = TargetConnector(lambda: metrics.count("connections.platform"))
    async with (
        target_session(target_connector) as pooled_session,
        target_session(single_connector) as single_session,
        aiohttp.ClientSession(connector=platform_connector, cookie_jar=jar) as platform_session,
    ):
        services = ADAPTERS[settings.adapter](platform_session, settings.platform_url)
        entry = DirectEntry(settings, services, DirectTiming(), log, metrics, idle_limits)
        relay = Relay(
            *(
                entry.serving,
                services.dialect,
                pooled_session,
                single_session,
                entry.first_tries,
                RelayTuning(max_answer_bytes=settings.max_answer_bytes),
            ),
            *(entry.retry_budget, entry.suspect, entry.crashes, entry.notices, log, metrics),
            buffers=entry.buffers,
        )
        entry.serving.queue_report = relay.queues.report
        try:
            await entry.start()
            await wait_for_first_configuration(entry.serving)
            callers = await _serve_callers(settings, entry, relay)
            ready = await _serve_ready(settings, entry)
            connections = TargetConnections((target_connector, single_connector), metrics, relay)
            metrics_runner = await _serve_metrics(settings, entry, relay, metrics, connections)
        except OSError as error:
            log.fault("cannot_listen", cause=error)
            await entry.stop()
            return EXIT_LISTEN
        log.event("started", pid=os.getpid(), callers=settings.caller_listen)
        await stop.wait()
        runners = [runner for runner in (ready, metrics_runner) if runner]
        await PlannedStop(entry, relay, earlysignals.stop_requested_s()).run(callers, runners)
    log.close()
    return 0


def _handle_signals(stop: asyncio.Event, log: EventLog) -> None:
    """Handle signals from now on, and those that arrived while the code was loaded."""
    loop = asyncio.get_running_loop()

    def request_stop(number: int) -> None:
        earlysignals.record(number)
        stop.set()

    for number in earlysignals.STOP_SIGNALS:
        loop.add_signal_handler(number, request_stop, number)
    loop.add_signal_handler(signal.SIGHUP, lambda: log.event("hang_up"))
    if earlysignals.stop_requested_s() is not None:
        stop.set()
    if earlysignals.is_hung_up():
        log.event("hang_up")


async def _serve_callers(
    settings: DirectSettings, entry: DirectEntry, relay: Relay
) -> web.ServerRunner:
    server = CallerServer(entry.serving, relay, entry.clients, entry.resources.callers)
    return await _listen(web.ServerRunner(server, shutdown_timeout=0.2), settings.caller_listen)


async def _serve_ready(settings: DirectSettings, entry: DirectEntry) -> web.ServerRunner:
    async def ready(_: web.BaseRequest) -> web.Response:
        now_s = asyncio.get_running_loop().time()
        return web.Response(status=200 if entry.serving.ready(now_s) else 503)

    server = ClientServer(ready, entry.clients, READINESS)
    return await _listen(web.ServerRunner(server, shutdown_timeout=0.1), settings.ready_listen)


async def _serve_metrics(
    settings: DirectSettings,
    entry: DirectEntry,
    relay: Relay,
    metrics: Metrics,
    connections: TargetConnections,
) -> web.ServerRunner | None:
    """Serve the counters as text at any path, if an address is configured."""
    if not settings.metrics_listen:
        return None

    def gauges() -> dict[str, float]:
        return {
            **entry.gauges(),
            **relay.queues.gauges(),
            "open_calls": relay.open_calls,
            **connections.gauges(),
        }

    server = ClientServer(LazyMetricsPage(metrics, gauges).answer, entry.clients, METRICS)
    return await _listen(web.ServerRunner(server, shutdown_timeout=0.1), settings.metrics_listen)


async def _listen(runner: web.ServerRunner, address: str) -> web.ServerRunner:
    await runner.setup()
    listening = earlylistener.claim_socket(address)
    if listening is None:
        host, _, port = address.rpartition(":")
        listening = listening_socket(host, int(port), BACKLOG)
    await web.SockSite(runner, listening, backlog=BACKLOG).start()
    return runner


__all__ = ["main", "run"]
