"""The store of a Raft member: committed changes are loaded again, and damage is detected."""

from __future__ import annotations

import random
import subprocess
import sys
import time
from pathlib import Path
from typing import Any

import pytest

from tests.disruption_helpers import edge_proxies, permit_register
from valverouter.emulator.permit_simulation import PermitSimulation
from valverouter.ledger.raft_store import RaftStore
from valverouter.ledger.storage import StoreError, StoreLockedError
from valverouter.rollout.disruption_limits import DisruptionLimits, InstanceKind
from valverouter.rollout.disruption_permits import (
    EnrollInstances,
    HaltDisruptions,
    InstanceLost,
    InstanceReturned,
    RequestPermit,
)
from valverouter.rollout.operation_log import OperationLog
from valverouter.rollout.raft_log import (
    Configuration,
    LogEntry,
    PersistentState,
    Save,
    SaveEntries,
    SaveSnapshot,
    SaveTerm,
    Snapshot,
)

ENROLLMENT = EnrollInstances(
    tuple(edge_proxies(2)), ((InstanceKind.EDGE, DisruptionLimits(2, 1, {"north": 1}, 0.5)),)
)


def test_committed_changes_are_loaded_as_they_were_applied(tmp_path: Path) -> None:
    store, expected = RaftStore(tmp_path, 7), PersistentState(7)
    state = OperationLog(permit_register())
    members = Configuration((("c0", 7), ("c1", 8)))
    commits: list[list[Save]] = [
        [
            SaveTerm(3, "c1"),
            SaveEntries(1, (LogEntry(1, members), LogEntry(1, ENROLLMENT), LogEntry(2, None))),
        ],
        [
            SaveEntries(
                3,
                (
                    LogEntry(3, RequestPermit("a", "e0", "roll")),
                    LogEntry(3, InstanceLost("e1")),
                    LogEntry(3, HaltDisruptions("why")),
                ),
            )
        ],
        [SaveSnapshot(Snapshot(4, 3, members, state))],
        [SaveEntries(6, (LogEntry(3, InstanceReturned("e1")),)), SaveTerm(4, "")],
    ]
    for saves in commits:
        store.commit(saves)
        for save in saves:
            expected.apply(save)
        assert store.load() == expected
    store.close()
    reopened = RaftStore(tmp_path, 99)
    assert reopened.load() == expected, "the store keeps its first disk id"
    with pytest.raises(StoreLockedError):
        RaftStore(tmp_path, 1)
    reopened.commit([SaveSnapshot(Snapshot(40, 9, members, state))])
    assert reopened.load().entries == [], "a snapshot beyond the end of the log"
    reopened.close()


def test_a_failed_commit_stores_nothing(tmp_path: Path) -> None:
    store = RaftStore(tmp_path, 7)
    store.commit([SaveTerm(1, "c0")])
    unserializable: Any = SaveEntries(1, (LogEntry(1, object()),))
    with pytest.raises(TypeError):
        store.commit([SaveTerm(2, "c1"), unserializable])
    assert (store.load().current_term, store.load().voted_for) == (1, "c0")
    store.close()


@pytest.mark.parametrize("damage", ["flipped", "cut off", "entry missing"])
def test_a_damaged_store_fails_to_load(tmp_path: Path, damage: str) -> None:
    store = RaftStore(tmp_path, 7)
    store.commit(
        [SaveEntries(1, tuple(LogEntry(1, RequestPermit(f"ask-{number}", "e0")) for number in range(400)))]
    )
    if damage == "entry missing":
        with store._env.begin(write=True) as transaction:
            transaction.delete((200).to_bytes(8, "big"), db=store._log_db)
    store.close()
    file = tmp_path / "data.mdb"
    data = bytearray(file.read_bytes())
    if damage == "flipped":
        data[data.index(b"ask-333")] ^= 1
    elif damage == "cut off":
        data = data[: len(data) * 2 // 3]
    file.write_bytes(data)
    with pytest.raises(StoreError):
        RaftStore(tmp_path, 8).load()


def test_commits_are_atomic_when_the_process_is_killed(tmp_path: Path) -> None:
    """Each commit stores the next term and two entries of it, so a partial commit shows in their numbers."""
    script = """
import sys
from pathlib import Path
from valverouter.ledger.raft_store import RaftStore
from valverouter.rollout.raft_log import LogEntry, SaveEntries, SaveTerm
store = RaftStore(Path(sys.argv[1]), 7)
state = store.load()
term = state.current_term
print("on", flush=True)
while True:
    term += 1
    last = len(state.entries)
    saves = [SaveTerm(term, "c0"), SaveEntries(last + 1, (LogEntry(term, None), LogEntry(term, None)))]
    store.commit(saves)
    for save in saves:
        state.apply(save)
"""
    draws = random.Random(5)
    for _ in range(6):
        process = subprocess.Popen([sys.executable, "-c", script, str(tmp_path)], stdout=subprocess.PIPE)
        assert process.stdout is not None
        assert process.stdout.readline() == b"on\n"
        time.sleep(draws.uniform(0.0, 0.05))
        process.kill()
        process.wait()
        process.stdout.close()
        store = RaftStore(tmp_path, 1)
        state = store.load()
        store.close()
        assert len(state.entries) == 2 * state.current_term
        assert [entry.term for entry in state.entries[-2:]] == [state.current_term] * min(
            2, len(state.entries)
        )


def test_a_store_loads_what_a_simulated_member_saved(tmp_path: Path) -> None:
    """Each save of a simulated member is also stored, and the loaded state equals the member's."""
    simulation = PermitSimulation(3)
    member = simulation.group.members["c1"]
    store = RaftStore(tmp_path, member.persistent.disk_id)
    store.commit([SaveEntries(1, tuple(member.persistent.entries))])
    apply_in_memory = PersistentState.apply

    def apply_and_store(self: PersistentState, save: Save) -> None:
        apply_in_memory(self, save)
        if self is member.persistent:
            store.commit([save])

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(PersistentState, "apply", apply_and_store)
        simulation._cause_fault = lambda: None  # type: ignore[method-assign]
        simulation.run(12)
    assert member.persistent.entries
    assert store.load() == member.persistent
    store.close()
