# SPDX-License-Identifier: Apache-2.0
"""The ``ochreway`` command line."""

import dataclasses
import sys
import time
from pathlib import Path

import click

from ochreway_cli.context import (
    EXIT_NOT_COMPLETE,
    WATCH_INTERVAL_S,
    Content,
    Context,
    require_operator,
)
from ochreway_cli.entries import EntryClients
from ochreway_cli.errors import CommandError
from ochreway_cli.explain import explain
from ochreway_cli.hallcommands import hall
from ochreway_cli.porcelain import Porcelain, check_bundle, load_key, new_keys
from ochreway_cli.rollprogress import roll_progress
from ochreway_core.bundle import bundle_hash
from ochreway_runtime.option import option


@click.group(
    epilog="Exit codes: 0 done, 1 failed, 2 usage, 3 bundle refused, 4 not found, "
    "5 race lost, 6 not approved, 7 platform down, 8 fate unknown, 9 roll or drain not complete."
)
@option("--platform-url", "http://127.0.0.1:7000", "Base URL of the platform's services.")
@option("--entry", (), "Base URL of an entry; give several.", multiple=True)
@option("--operator-token", "", "Token that entries ask for.")
@option("--operator", "", "Your name.")
@option("--scope", "main", "Scope whose versions are meant.")
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
@click.pass_context
def main(
    context: click.Context,
    platform_url: str,
    entry: tuple[str, ...],
    operator_token: str,
    operator: str,
    scope: str,
    as_json: bool,
) -> None:
    """Check, sign off and roll bundles, and look at what runs."""
    context.obj = Context(platform_url, entry, operator_token, operator, scope, as_json)


main.add_command(explain)
main.add_command(hall)


@main.group()
def bundle() -> None:
    """Write, submit and sign off bundles."""


@bundle.command("check")
@click.argument("path", type=click.Path(exists=True, dir_okay=False, path_type=Path))
@click.pass_obj
def bundle_check(context: Context, path: Path) -> None:
    """Check a bundle without submitting it."""
    body = path.read_bytes()
    try:
        checked = check_bundle(body)
    except CommandError as error:
        lines = [f"{path}: {line}" for line in str(error).splitlines()]
        error.args = ("\n".join(lines),)
        context.fail(error)
    digest = bundle_hash(body)
    context.show({"bundle": digest, "name": checked.name}, f"{path}: good ({digest[:12]})")


@bundle.command("submit")
@click.argument("path", type=click.Path(exists=True, dir_okay=False, path_type=Path))
@click.pass_obj
def bundle_submit(context: Context, path: Path) -> None:
    """Submit a bundle for sign-off by someone else."""
    author = require_operator(context)
    row = context.run(lambda porcelain, _: porcelain.submit(path.read_bytes(), author))
    context.show({"bundle": row.bundle, "author": row.author}, f"{row.bundle} by {row.author}")


@bundle.command("show")
@click.argument("digest")
@click.pass_obj
def bundle_show(context: Context, digest: str) -> None:
    """Show a bundle, its author and who signed it off."""

    async def load_bundle(porcelain: Porcelain, entries: EntryClients) -> Content:
        row = await porcelain.bundle_row(digest)
        approvals = await porcelain.approvals(row.bundle)
        body = await porcelain.body(row.bundle)
        return {
            "bundle": row.bundle,
            "author": row.author,
            "approvers": [approval.approver for approval in approvals],
            "body": body.decode(),
        }

    shown = context.run(load_bundle)
    approvers = ", ".join(shown["approvers"]) or "nobody"
    text = f"# {shown['bundle']}\n# author {shown['author']}, signed off by {approvers}\n"
    context.show(shown, text + shown["body"])


@bundle.command("approve")
@click.argument("digest")
@option(
    "--key-file",
    None,
    "File with your private key.",
    type=click.Path(path_type=Path),
    required=True,
)
@click.pass_obj
def bundle_approve(context: Context, digest: str, key_file: Path) -> None:
    """Sign off a bundle that someone else wrote."""
    approver = require_operator(context)
    try:
        key = load_key(key_file)
    except CommandError as error:
        context.fail(error)
    approval = context.run(lambda porcelain, _: porcelain.approve(digest, approver, key))
    context.show(
        {"bundle": approval.bundle, "approver": approver}, f"{approval.bundle} by {approver}"
    )


@bundle.command("list")
@click.pass_obj
def bundle_list(context: Context) -> None:
    """List the submitted bundles, newest last."""
    rows = context.run(lambda porcelain, _: porcelain.bundles())
    content = [dataclasses.asdict(row) for row in rows]
    text = "\n".join(f"{row.bundle[:12]} {row.name} by {row.author}" for row in rows)
    context.show({"bundles": content}, text or "none")


@main.group()
def roll() -> None:
    """Roll signed-off bundles."""


@roll.command("start")
@click.argument("digest")
@click.option("--seen", type=int, default=None, help="The version you believe to be in force.")
@click.pass_obj
def roll_start(context: Context, digest: str, seen: int | None) -> None:
    """Put a signed-off bundle in force as the next version."""
    operator = require_operator(context)

    async def start_roll(porcelain: Porcelain, entries: EntryClients) -> Content:
        snapshot = await porcelain.roll(digest, operator, seen)
        pushed = await entries.push(snapshot)
        return {"version": snapshot.roll.version, "bundle": snapshot.roll.bundle, "pushed": pushed}

    result = context.run(start_roll)
    context.show(
        result, f"version {result['version']} accepted, pushed to {result['pushed']} entries"
    )


async def _load_progress(porcelain: Porcelain, entries: EntryClients) -> Content:
    head = await porcelain.head()
    if head is None:
        return {"version": 0, "complete": False}
    head_bundle = check_bundle(await porcelain.body(head.bundle))
    current_progress = roll_progress(head_bundle, head.version, await entries.statuses())
    return {**dataclasses.asdict(current_progress), "complete": current_progress.complete}


def _progress_text(shown: Content) -> str:
    return " ".join(f"{key}={value}" for key, value in shown.items())


@roll.command("status")
@click.pass_obj
def roll_status(context: Context) -> None:
    """Show how far the accepted version has come."""
    shown = context.run(_load_progress)
    context.show(shown, _progress_text(shown))
    sys.exit(0 if shown["complete"] else EXIT_NOT_COMPLETE)


@roll.command("watch")
@click.option("--timeout-s", default=600.0, show_default=True, help="How long to watch.")
@click.pass_obj
def roll_watch(context: Context, timeout_s: float) -> None:
    """Watch until every group serves the accepted version."""
    end_s = time.monotonic() + timeout_s
    last_text = ""
    while True:
        shown = context.run(_load_progress)
        text = _progress_text(shown)
        if text != last_text:
            context.show(shown, text)
            last_text = text
        if shown["complete"]:
            return
        if time.monotonic() >= end_s:
            sys.exit(EXIT_NOT_COMPLETE)
        time.sleep(WATCH_INTERVAL_S)


@main.command()
@click.pass_obj
def status(context: Context) -> None:
    """Show groups, why members are not ready, stranded instances and versions in force."""

    async def load_statuses(porcelain: Porcelain, entries: EntryClients) -> Content:
        return {"entries": await entries.statuses()}

    shown = context.run(load_statuses)
    context.show(shown, _status_text(shown["entries"]))


def _status_text(entries: list[Content]) -> str:
    lines = []
    for entry in entries:
        lines.append(
            f"entry={entry['entry']} version={entry['version']} in_flight={entry['in_flight']}"
        )
    for domain in (domain for entry in entries for domain in entry["domains"]):
        lines.append(
            f"domain={domain['domain']} term={domain['term']} stranded={domain['stranded']}"
            f" stranded_instance_s={domain['stranded_instance_s']}"
        )
        for group in domain["groups"]:
            lines += _group_lines(group)
    return "\n".join(lines) or "no entry answered; name some with --entry"


def _group_lines(group: Content) -> list[str]:
    lines = [
        f"  group={group['group']} target={group['target']} serving={group['serving']}"
        f" draining={group['draining']} epoch={group['epoch']} down_s={group['down_s']}"
    ]
    for member in group["members"]:
        state = member["why_not_ready"] or "ready"
        lines.append(f"    member={member['node']} version={member['version']} state={state!r}")
    return lines


@main.group()
def keys() -> None:
    """Make keys for sign-off."""


@keys.command("new")
@click.option(
    "--out", type=click.Path(path_type=Path), default=None, help="File for the private key."
)
@click.pass_obj
def keys_new(context: Context, out: Path | None) -> None:
    """Make a key pair; give the public half to the daemons as --operator-key."""
    name = require_operator(context)
    pair = new_keys()
    content: Content = {"operator_key": f"{name}={pair.public}"}
    if out is None:
        content["private"] = pair.private
    else:
        out.touch(mode=0o600, exist_ok=False)
        out.write_text(pair.private + "\n")
        content["file"] = str(out)
    context.show(content, "\n".join(f"{key}: {value}" for key, value in content.items()))


if __name__ == "__main__":
    main()
