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
from ochreway_runtime import steadyloop
from ochreway_runtime.checks import shown
from ochreway_runtime.errors import SettingsInvalid
from ochreway_runtime.logs import EventLog
from ochreway_runtime.metrics import Metrics
from ochreway_runtime.option import option

EXIT_SETTINGS = 2
EXIT_LISTEN = 4
STOP_POLL_S = 0.1
GRACE_SHARE = 0.85
"""The share of the grace in which requests may end; closing what is left takes up to 0.8 s."""
LINGER_S = 2.8
"""For how long a stopping entry takes requests on, as connections still come and are still open."""


@click.command()
@option("--name", "", "Name of this instance.")
@option("--hall", "hall-1", "Data hall of this instance.")
@option("--adapter", "", "Module that adapts to the platform, and registers its name.")
@option("--caller-listen", "127.0.0.1:7480", "host:port for callers.")
@option("--ready-listen", "127.0.0.1:7481", "host:port for the question whether it is ready.")
@option("--link-listen", "127.0.0.1:7400", "host:port for links of other entries.")
@option("--platform-url", "http://127.0.0.1:7000", "Base URL of the platform's services.")
@option("--peer", "", "host:port of other entries' links, with commas between.")
@option("--link-key", "", "Key that every process of the system shares (secret).")
@option("--statsd", "", "host:port of a statsd server; empty for none.")
@option("--metrics-listen", "", "host:port for the counters as text; empty for none.")
@option("--log-level", "info", "debug, info, warning or error.")
@option("--key-revoke-ms", 5000, "How soon a key that was taken away may not be used any more.")
@option(
    "--keys-fail-closed",
    True,
    "Refuse keys while no proof shows that the configuration is the newest.",
    type=bool,
)
@option("--drain-ms", 2000, "How long a target serves on after it was listed as leaving.")
@option("--retry-ratio", 0.2, "Bound on repeats, as a share of requests.")
@option("--retry-slack", 200.0, "Bound on repeats beyond that share, over all entries.")
@option("--grace-s", 8.0, "How long a planned stop may take.")
@option("--loads-window-s", 5.0, "Window in which loads of weights are bounded.")
@option("--loads-excess", 1.1, "Share of the configured rate of loads that a window may have.")
@option(
    "--first-start",
    False,
    "This is the first start of the whole site: loads are not bounded before the first request.",
    type=bool,
)
@option("--processor-share", 1.0, "Share of a core that this process may use.")
@option("--processor-speed", 1.0, "How fast that core is, against a usual one.")
@option("--hall-drain-ms", 5000, "How soon a hall that is drained gets nothing new.")
@option("--cold-excess", 1.0, "What a cold target may get, against its configured rate.")
@option("--cold-slack", 0.0, "How many requests more a cold target may get in any second.")
@option("--region", "", "Region of this instance; empty where regions do not matter.")
@option("--hall-regions", "", "hall=region of every hall, with commas between.")
@option("--descriptors", 0, "How many files and sockets this process may have open; 0: any.")
@option("--memory-mb", 0.0, "How much memory this process may take; 0: any.")
@option("--link-mbps", 0.0, "What this instance's link carries; 0: not known.")
@option("--without", "", "Mechanisms to switch off, with commas between; for measurements.")
@click.option("--check", "only_check", is_flag=True, help="Print the settings and stop.")
def main(only_check: bool, **given: Any) -> None:
    """Take callers' requests and send them straight to targets."""
    for name in ("peer", "without", "hall_regions"):
        given[name] = tuple(each for each in given[name].split(",") if each)
    settings = DirectSettings(**given)
    try:
        check(settings)
    except SettingsInvalid as fault:
        for line in fault.faults:
            click.echo(line, err=True)
        sys.exit(EXIT_SETTINGS)
    if only_check:
        click.echo("\n".join(shown(settings)))
        return
    sys.exit(steadyloop.run(run(settings)))


async def run(settings: DirectSettings) -> int:
    """Run until a signal asks to stop."""
    earlylistener.close_others(settings.caller_listen)
    log = EventLog("entry", settings.name, settings.log_level)
    metrics = Metrics(settings.statsd, "entry")
    importlib.import_module(settings.adapter)
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    loop.add_signal_handler(signal.SIGHUP, lambda: log.event("hang_up"))
    jar = aiohttp.DummyCookieJar()
    resting = IdleLimits()
    to_targets = TargetConnector(lambda: metrics.count("connections.target"), resting)
    to_one = TargetConnector(lambda: metrics.count("connections.single"), keep_alive=False)
    to_platform = TargetConnector(lambda: metrics.count("connections.platform"))
    async with (
        target_session(to_targets) as kept,
        target_session(to_one) as single,
        aiohttp.ClientSession(connector=to_platform, cookie_jar=jar) as platform,
    ):
        services = ADAPTERS[settings.adapter](platform, settings.platform_url)
        entry = DirectEntry(settings, services, DirectTiming(), log, metrics, resting)
        relay = Relay(
            *(entry.serving, services.dialect, kept, single, entry.meter, RelayTuning()),
            *(entry.retry_budget, entry.suspect, entry.crashes, entry.notices, log, metrics),
        )
        try:
            await entry.start()
            await wait_for_first_configuration(entry.serving)
            callers = await _serve_callers(settings, entry, relay)
            ready = await _serve_ready(settings, entry)
            connections = TargetConnections((to_targets, to_one), metrics, relay)
            figures = await _serve_metrics(settings, entry, relay, metrics, connections)
        except OSError as fault:
            log.fault("cannot_listen", cause=fault)
            await entry.stop()
            return EXIT_LISTEN
        log.event("started", pid=os.getpid(), callers=settings.caller_listen)
        await stop.wait()
        await _drain(entry, relay)
        await asyncio.gather(*(runner.cleanup() for runner in (callers, ready, figures) if runner))
        await entry.stop()
        log.event("stopped", open_calls=relay.open_calls)
    log.flush()
    return 0


async def _drain(entry: DirectEntry, relay: Relay) -> None:
    """Serve on until nothing is under way, within the grace that a stop has."""
    loop = asyncio.get_running_loop()
    begun_s = loop.time()
    entry.serving.stopping = True
    entry.log.event("stopping", open_calls=relay.open_calls)
    await entry.release_lease()
    end_s = begun_s + entry.settings.grace_s * GRACE_SHARE
    while loop.time() < end_s:
        await asyncio.sleep(STOP_POLL_S)
        entry.serving.closed = loop.time() - begun_s > LINGER_S
        if relay.open_calls == 0 and entry.serving.closed:
            return


async def _serve_callers(
    settings: DirectSettings, entry: DirectEntry, relay: Relay
) -> web.ServerRunner:
    server = CallerServer(entry.serving, relay, entry.resources.callers)
    return await _listen(web.ServerRunner(server, shutdown_timeout=0.5), settings.caller_listen)


async def _serve_ready(settings: DirectSettings, entry: DirectEntry) -> web.ServerRunner:
    async def ready(_: web.BaseRequest) -> web.Response:
        now_s = asyncio.get_running_loop().time()
        return web.Response(status=200 if entry.serving.ready(now_s) else 503)

    server = web.Server(ready, access_log=None)
    return await _listen(web.ServerRunner(server, shutdown_timeout=0.1), settings.ready_listen)


async def _serve_metrics(
    settings: DirectSettings,
    entry: DirectEntry,
    relay: Relay,
    metrics: Metrics,
    connections: TargetConnections,
) -> web.ServerRunner | None:
    """Serve the counters as text at any path, if an address for them is set."""
    if not settings.metrics_listen:
        return None

    def gauges() -> dict[str, float]:
        return {**entry.gauges(), "open_calls": relay.open_calls, **connections.gauges()}

    server = web.Server(LazyMetricsPage(metrics, gauges).answer, access_log=None)
    return await _listen(web.ServerRunner(server, shutdown_timeout=0.1), settings.metrics_listen)


async def _listen(runner: web.ServerRunner, address: str) -> web.ServerRunner:
    await runner.setup()
    listening = earlylistener.take(address)
    if listening is not None:
        await web.SockSite(runner, listening, backlog=BACKLOG).start()
        return runner
    host, _, port = address.rpartition(":")
    await web.TCPSite(runner, host, int(port), backlog=BACKLOG).start()
    return runner


__all__ = ["main", "run"]
