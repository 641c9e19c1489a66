# SPDX-License-Identifier: Apache-2.0
"""Check that each invariant is violated when its guard is disabled, and only then.

The daemons have no switch that disables a guard, so it is patched out here.
"""

import contextlib
import multiprocessing
import sys
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import Any
from unittest import mock

import click

from ochreway_core.attemptledger import AttemptRecord, AttemptState
from ochreway_core.gate import LeaderGate
from ochreway_core.grant import MemberGrant
from ochreway_core.ids import CauseId, ChangeId, NodeId
from ochreway_core.keyhome import KeyHome
from ochreway_core.messages import Frame, Settled, Vote, Withdraw
from ochreway_core.outcome import Outcome
from ochreway_core.peer import Peer
from ochreway_core.reason import Reason
from ochreway_core.reassembly import Reassembly
from ochreway_core.table import Transaction
from ochreway_core.view import View
from ochreway_nodes.agent import AgentNode, serving
from ochreway_nodes.agent.limitgate import LimitGate
from ochreway_nodes.agent.membership import Membership
from ochreway_nodes.agent.serving import Serving
from ochreway_nodes.controller.rowwrites import RowWrites
from ochreway_nodes.drainstate import DrainState
from ochreway_nodes.entry import EntryNode, calls
from ochreway_nodes.entry.call import Call
from ochreway_routing import crashbook
from ochreway_routing.crashbook import CrashBook
from ochreway_routing.crashholds import CrashHold
from ochreway_routing.crashrecord import CrashRecord
from ochreway_routing.crashverdict import NOT_FATAL
from ochreway_standins.soak.run import Run

Patch = Callable[[], contextlib.AbstractContextManager[Any]]

GUARDS: dict[str, "Guard"] = {}


@dataclass(frozen=True, slots=True)
class Guard:
    """How to disable a guard, and the faults that must then violate its invariants."""

    name: str
    invariants: tuple[str, ...]
    faults: tuple[str, ...]
    patch: Patch
    pairs: int = 5
    seed_factor: int = 1
    """Multiplies the number of seeds, for violations that need a rare combination of faults."""


def guard(
    name: str,
    invariants: tuple[str, ...],
    faults: tuple[str, ...],
    pairs: int = 5,
    seed_factor: int = 1,
) -> Callable[[Patch], Patch]:
    """Register the patch that disables a guard."""

    def register(patch: Patch) -> Patch:
        GUARDS[name] = Guard(name, invariants, faults, patch, pairs, seed_factor)
        return patch

    return register


@guard("gate_freshness", ("group_complete", "one_group"), ("kill_agent", "pause_agent", "cut_off"))
def _gate_freshness() -> contextlib.AbstractContextManager[Any]:
    def closed_because(gate: LeaderGate, now_s: float) -> Reason:
        return Reason.DRAINING if gate.row.draining else Reason.NONE

    return mock.patch.multiple(
        LeaderGate, closed_because=closed_because, valid_until_s=lambda gate: 1.0e12
    )


@guard("hand_over_check", ("group_complete", "one_group"), ("pause_in_hand_over", "kill_agent"))
def _hand_over_check() -> contextlib.AbstractContextManager[Any]:
    return mock.patch.object(AgentNode, "may_hand_over", lambda node, order, now_s: True)


@guard("grant_waits", ("one_group", "group_complete"), ("regroup", "regroup", "cut", "cut_off"), 10)
def _grant_waits() -> contextlib.AbstractContextManager[Any]:
    return mock.patch.object(MemberGrant, "can_grant", lambda grant, epoch, now_s: True)


@guard("start_quiet", ("group_complete", "one_group"), ("take_restarted",), 10)
def _start_quiet() -> contextlib.AbstractContextManager[Any]:
    original = MemberGrant.__init__

    def init(grant: MemberGrant, ttl_s: float, now_s: float) -> None:
        original(grant, ttl_s, now_s)
        grant._startup_until_s = now_s

    return mock.patch.object(MemberGrant, "__init__", init)


@guard("lease_condition", ("one_group",), ("pause_holder", "regroup", "kill_agent"), 8)
def _lease_condition() -> contextlib.AbstractContextManager[Any]:
    def transaction(writes: RowWrites, change: ChangeId) -> Transaction:
        return Transaction(change, (), writes._encoded())

    return mock.patch.object(RowWrites, "transaction", transaction)


@guard("frame_offsets", ("whole_answer",), ("disorder", "cut_entry_leader"))
def _frame_offsets() -> contextlib.AbstractContextManager[Any]:
    def add(answer: Reassembly, frame: Frame) -> list[Frame]:
        answer.received += len(frame.payload)
        answer.total = answer.received if frame.total is not None else None
        return [frame]

    return mock.patch.object(Reassembly, "add", add)


@guard("frame_totals", ("whole_answer",), ("disorder", "cut_entry_leader"))
def _frame_totals() -> contextlib.AbstractContextManager[Any]:
    def is_complete(answer: Reassembly) -> bool:
        return answer.total is not None

    return mock.patch.object(Reassembly, "is_complete", property(is_complete))


@guard(
    "withdraw_handed",
    ("not_run_true", "at_most_once"),
    ("cut_entry_leader",),
    pairs=12,
    seed_factor=4,
)
def _withdraw_handed() -> contextlib.AbstractContextManager[Any]:
    def not_run(agent: Serving, sender: Peer, message: Withdraw, record: AttemptRecord) -> None:
        agent._outbox.send(sender, Settled(message.attempt, Outcome.NOT_RUN, Reason.WITHDRAWN))

    return mock.patch.dict(serving._WITHDRAW_HANDLERS, {AttemptState.HANDED_OVER: not_run})


@guard(
    "agent_incarnation",
    ("not_run_true", "at_most_once"),
    ("kill_agent_process", "kill_in_hand_over"),
)
def _agent_incarnation() -> contextlib.AbstractContextManager[Any]:
    original = Serving._forbid

    def forbid(agent: Serving, sender: Peer, message: Withdraw, now_s: float) -> None:
        claimed = Withdraw(message.attempt, agent._membership.incarnation, message.received)
        original(agent, sender, claimed, now_s)

    return mock.patch.object(Serving, "_forbid", forbid)


@guard("earlier_attempts", ("not_run_true",), ("target_breaks", "kill_leader", "kill_agent"), 8)
def _earlier_attempts() -> contextlib.AbstractContextManager[Any]:
    never_ran = property(lambda call: False, lambda call, value: None)
    return mock.patch.object(Call, "may_have_run", never_ran)


@guard("key_claims", ("at_most_once",), ("kill_entry", "cut_entry_leader", "kill_leader"))
def _key_claims() -> contextlib.AbstractContextManager[Any]:
    granted = (Vote.GRANTED, Outcome.UNKNOWN)
    return mock.patch.object(KeyHome, "claim", lambda home, *claimed: granted)


@guard("key_amnesia", ("at_most_once",), ("restart_many", "cut_entry_leader", "kill_entry"), 8)
def _key_amnesia() -> contextlib.AbstractContextManager[Any]:
    original = KeyHome.__init__

    def init(home: KeyHome, memory_s: float, now_s: float, wall_s: float) -> None:
        original(home, memory_s, now_s, wall_s)
        home.end_forgetful_period()

    return mock.patch.object(KeyHome, "__init__", init)


@guard("key_homes_move", ("at_most_once",), ("roll", "kill_entry", "kill_leader"), 4, 4)
def _key_homes_move() -> contextlib.AbstractContextManager[Any]:
    original = View.homes

    def homes(view: View, key: str, now_s: float) -> list[frozenset[NodeId]]:
        return original(view, key, now_s)[:1]

    return mock.patch.object(View, "homes", homes)


@guard("leaving_closes", ("leaving_quiet",), ("stop_leader", "stop_agent", "list_leaving"))
def _leaving_closes() -> contextlib.AbstractContextManager[Any]:
    never_leaving = property(lambda membership: False, lambda membership, value: None)
    return mock.patch.object(Membership, "leaving", never_leaving, create=True)


@guard("stop_waits", ("stop_cuts_nothing",), ("stop_leader", "stop_agent"))
def _stop_waits() -> contextlib.AbstractContextManager[Any]:
    return mock.patch.object(AgentNode, "may_stop", lambda node, now_s: True)


@guard("entry_stop_waits", ("stop_cuts_nothing",), ("stop_entry",))
def _entry_stop_waits() -> contextlib.AbstractContextManager[Any]:
    return mock.patch.object(EntryNode, "may_stop", lambda node: True)


@guard("drained_halls", ("drained_quiet",), ("drain_hall",))
def _drained_halls() -> contextlib.AbstractContextManager[Any]:
    no_halls = property(lambda drains: frozenset())
    return mock.patch.multiple(DrainState, halls=no_halls, closed=lambda drains, now_s: frozenset())


@guard("fatal_requests", ("fatal_quiet",), ("fatal_request",), 1)
def _fatal_requests() -> contextlib.AbstractContextManager[Any]:
    return mock.patch.object(CrashBook, "check_request", lambda *_: NOT_FATAL)


@guard("crashes_told", ("fatal_quiet",), ("fatal_request", "kill_entry"), 6, 2)
def _crashes_told() -> contextlib.AbstractContextManager[Any]:
    return mock.patch.object(CrashBook, "merge_sighting", lambda book, sighting, heard_s: False)


@guard("shared_blocks", ("fatal_quiet",), ("fatal_block",), 1)
def _shared_blocks() -> contextlib.AbstractContextManager[Any]:
    return mock.patch.object(calls, "causes_of", lambda fingerprint, parts: (fingerprint,))


@guard("sound_blocks", ("sound_served",), ("fatal_block",), 2)
def _sound_blocks() -> contextlib.AbstractContextManager[Any]:
    def hold_all(records: dict[CauseId, CrashRecord]) -> list[CrashHold]:
        return [CrashHold(frozenset((cause,)), float("inf")) for cause in records]

    stack = contextlib.ExitStack()
    stack.enter_context(mock.patch.object(crashbook, "find_holds", hold_all))
    stack.enter_context(mock.patch.object(CrashBook, "record_completion", lambda *_: False))
    return stack


@guard("backoff_kept", ("backoff_quiet",), ("target_busy",))
def _backoff_kept() -> contextlib.AbstractContextManager[Any]:
    return mock.patch.object(Membership, "backoff_s", lambda membership, now_s: 0.0)


@guard("leave_in_answers", ("leaving_quiet",), ("target_leaves",))
def _leave_in_answers() -> contextlib.AbstractContextManager[Any]:
    return mock.patch.object(AgentNode, "on_target_notice", lambda *_, **__: None)


@guard("limits_kept", ("limit_kept",), ("target_limited",))
def _limits_kept() -> contextlib.AbstractContextManager[Any]:
    return mock.patch.object(LimitGate, "wait_s", lambda gate, now_s: 0.0)


@guard("version_forward", ("version_forward",), ("race", "roll", "disorder", "table_slow"), 10)
def _version_forward() -> contextlib.AbstractContextManager[Any]:
    original = View.apply

    reverted_views: list[View] = []

    def apply(view: View, snapshot: Any, now_s: float) -> Any:
        # Each view reverts at most once: two views that always did would never converge.
        if view not in reverted_views and 0 < snapshot.roll.version < view.version:
            reverted_views.append(view)
            view.snapshot = None
        return original(view, snapshot, now_s)

    return mock.patch.object(View, "apply", apply)


def violations_of(proof: tuple[str, int, bool]) -> int:
    """Run one seed of a guard's check and count the violations of its invariants."""
    name, seed, removed = proof
    chosen = GUARDS[name]
    with _without_guard(chosen) if removed else contextlib.nullcontext():
        result = Run(seed, list(chosen.faults), chosen.pairs).go()
    relevant = chosen.invariants if removed else ("",)
    return sum(any(each in violation for each in relevant) for violation in result.violations)


@contextlib.contextmanager
def _without_guard(chosen: Guard) -> Iterator[None]:
    with chosen.patch():
        yield


@click.command()
@click.option("--seed", default=1, show_default=True)
@click.option("--runs", default=24, show_default=True, help="Seeds per guard, each way.")
@click.option("--jobs", default=4, show_default=True)
@click.option("--only", default="", help="Name of one guard.")
def main(seed: int, runs: int, jobs: int, only: str) -> None:
    """Fail unless each guard's check sees violations without the guard and none with it."""
    names = [only] if only else list(GUARDS)
    failed_names = []
    with multiprocessing.get_context("fork").Pool(jobs) as pool:
        for name in names:
            seeds = range(seed, seed + runs * GUARDS[name].seed_factor)
            count_without = sum(pool.map(violations_of, [(name, each, True) for each in seeds]))
            count_with = sum(pool.map(violations_of, [(name, each, False) for each in seeds]))
            print(
                f"guard={name} violations_without={count_without} violations_with={count_with}",
                flush=True,
            )
            if not count_without or count_with:
                failed_names.append(name)
    print(f"guards={len(names)} failed={len(failed_names)} {','.join(failed_names)}")
    sys.exit(1 if failed_names else 0)


if __name__ == "__main__":
    main()
