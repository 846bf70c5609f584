"""The dialog store: whole commits, damaged entries, bounded size, and the commands that read it."""

from __future__ import annotations

import os
import random
import signal
import subprocess
import sys
import time
from itertools import count
from pathlib import Path
from typing import Any

import lmdb
import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from tests.recovery_records import record, timestamp
from tests.test_scenarios import valverouter
from valverouter.ledger.dialog_store import (
    DamagedEntry,
    DialogStore,
    StoreError,
    StoreFullError,
    StoreLockedError,
)
from valverouter.recovery import lifecycle
from valverouter.recovery.learned_state import LearnedServerState
from valverouter.recovery.lifecycle import DialogRecord, Phase


def test_what_was_committed_is_read_back_and_what_was_not_is_not(tmp_path: Path) -> None:
    with DialogStore(tmp_path) as store:
        assert store.begin_epoch() == 1
        for dialog in "abc":
            store.put(record(dialog))
        assert store.pending_changes == 3
        assert store.commit() == 3
        assert store.commit() == 0
        store.delete("b")
        store.put(lifecycle.start_attempt(record("a"), 0, "s0", 1, timestamp(5)))
        store.put_learned_state(LearnedServerState("s0", 5, 1, 2, 3, 4))
        store.commit()
        store.put(record("never"))
    with DialogStore(tmp_path) as store:
        found = {entry.dialog_id: entry for entry in store.records() if isinstance(entry, DialogRecord)}
        assert set(found) == {"a", "c"}
        assert found["a"].phase is Phase.IN_FLIGHT
        assert found["c"] == record("c")
        assert list(store.learned_states()) == [LearnedServerState("s0", 5, 1, 2, 3, 4)]
        assert store.begin_epoch() == 2


@given(st.text(min_size=1, max_size=20))
def test_any_dialog_id_is_stored_as_given(tmp_path_factory: Any, name: str) -> None:
    folder = tmp_path_factory.mktemp("ledger")
    with DialogStore(folder) as store:
        store.put(record(name))
        store.commit()
        assert [entry.dialog_id for entry in store.records() if isinstance(entry, DialogRecord)] == [name]


@pytest.mark.parametrize("spot", [0, 3, 4, 20, -1])
def test_a_flipped_byte_costs_that_entry_alone_and_repair_says_what_was_lost(
    tmp_path: Path, spot: int
) -> None:
    with DialogStore(tmp_path) as store:
        for dialog in "abc":
            store.put(record(dialog))
        store.commit()
        with store._env.begin(write=True, db=store._dialogs) as transaction:
            value = bytearray(transaction.get(b"b") or b"")
            value[spot] ^= 0x40
            transaction.put(b"b", bytes(value))
        found = list(store.records())
        assert [entry.dialog_id for entry in found if isinstance(entry, DialogRecord)] == ["a", "c"]
        assert [entry.key for entry in store.repair()] == ["b"]
        assert not any(isinstance(entry, DamagedEntry) for entry in store.records())


def test_a_second_process_and_another_version_are_refused(tmp_path: Path) -> None:
    with DialogStore(tmp_path) as store:
        with pytest.raises(StoreLockedError):
            DialogStore(tmp_path)
        store._write_meta(b"format", 9)
    with pytest.raises(StoreError, match="format 9"):
        DialogStore(tmp_path)
    with pytest.raises(StoreError, match="format 9"):
        DialogStore(tmp_path)  # the refusal released the lock


def test_a_damaged_file_is_refused_and_not_read_as_empty(tmp_path: Path) -> None:
    with DialogStore(tmp_path) as store:
        store.put(record())
        store.commit()
    data = (tmp_path / "data.mdb").read_bytes()
    (tmp_path / "data.mdb").write_bytes(bytes(8_192) + data[8_192:])
    with pytest.raises(StoreError):
        DialogStore(tmp_path)


def fill(store: DialogStore) -> int:
    """Commits twenty records at a time until the store is full; returns how many it took."""
    for kept in count(step=20):
        for number in range(20):
            store.put(record(f"d{kept + number}"))
        try:
            store.commit()
        except StoreFullError:
            return kept
    raise AssertionError("unreachable")


def test_a_full_store_refuses_the_whole_commit_and_goes_on_when_some_have_ended(tmp_path: Path) -> None:
    with DialogStore(tmp_path, max_bytes=256 * 1024) as store:
        kept = fill(store)
        assert sum(1 for _ in store.records()) == kept > 500
        assert store.pending_changes == 0
        for name in sorted(f"d{number}" for number in range(kept))[: kept // 2]:
            store.delete(name)
        store.commit()
        store.put(record("after"))
        assert store.commit() == 1


def test_the_size_is_flat_over_a_long_load(tmp_path: Path) -> None:
    with DialogStore(tmp_path) as store:
        used = []
        for number in range(6_000):
            store.put(record(f"d{number}"))
            if number >= 200:
                store.delete(f"d{number - 200}")
            if number % 10 == 0:
                store.commit()
            if number % 1_000 == 999:
                used.append(store.bytes_in_use())
        assert used[-1] <= used[1] * 1.2


WRITER = """
import sys
from pathlib import Path
from tests.recovery_records import record
from valverouter.ledger.dialog_store import DialogStore
with DialogStore(Path(sys.argv[1])) as store:
    store.begin_epoch()
    number = 0
    while True:
        # Each commit holds a pair: a torn entry would show entry half.
        store.put(record(f"{number}-a"))
        store.put(record(f"{number}-b"))
        store.delete(f"{number - 40}-a")
        store.delete(f"{number - 40}-b")
        store.commit()
        number += 1
        print(number, flush=True)
"""


def test_a_process_killed_at_any_moment_leaves_whole_commits(tmp_path: Path) -> None:
    generator = random.Random(2)
    for _ in range(4):
        writer = subprocess.Popen(
            [sys.executable, "-c", WRITER, str(tmp_path)], stdout=subprocess.PIPE, text=True
        )
        assert writer.stdout is not None
        assert writer.stdout.readline(), "the writer commits"
        time.sleep(generator.uniform(0.01, 0.1))
        os.kill(writer.pid, signal.SIGKILL)
        reported = [int(line) for line in writer.stdout.read().splitlines()]
        writer.wait()
        with DialogStore(tmp_path) as store:
            found = {entry.dialog_id for entry in store.records() if isinstance(entry, DialogRecord)}
            assert {name[:-2] for name in found if name.endswith("a")} == {
                name[:-2] for name in found if name.endswith("b")
            }
            if reported:
                assert f"{reported[-1] - 1}-a" in found, "a commit that returned is there"
            assert not any(isinstance(entry, DamagedEntry) for entry in store.records())
            for entry in found:
                store.delete(entry)
            store.commit()


def test_a_commit_that_the_disk_refuses_leaves_nothing_pending(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    class Refusing:
        def begin(self, **options: Any) -> Any:
            raise lmdb.DiskError("No space left on device")

    with DialogStore(tmp_path) as store:
        store.put(record())
        env = store._env
        monkeypatch.setattr(store, "_env", Refusing())
        with pytest.raises(StoreFullError, match="No space left"):
            store.commit()
        monkeypatch.setattr(store, "_env", env)
        assert store.commit() == 0
        assert list(store.records()) == []


def test_an_encoded_record_is_below_120_bytes() -> None:
    assert len(msgspec.msgpack.encode(record("c0-12345.2", Phase.IN_FLIGHT, server="s11"))) < 120


def test_the_ledger_commands(tmp_path: Path) -> None:
    folder = tmp_path / "store"
    with DialogStore(folder) as store:
        store.put(record("a"))
        store.put(record("b", Phase.IN_FLIGHT))
        store.commit()
        with store._env.begin(write=True, db=store._dialogs) as transaction:
            transaction.put(b"c", b"nonsense")
        held = valverouter("ledger", "inspect", str(folder))
    assert held.returncode == 2
    assert "held by another process" in held.stderr
    shown = valverouter("ledger", "inspect", str(folder))
    assert "2 dialogs" in shown.stdout
    assert "out: 1" in shown.stdout
    assert valverouter("ledger", "verify", str(folder)).returncode == 1
    assert "lost: dialogs 'c'" in valverouter("ledger", "repair", str(folder)).stdout
    assert valverouter("ledger", "verify", str(folder)).returncode == 0
    lines = valverouter("ledger", "export", str(folder)).stdout.splitlines()
    assert [msgspec.json.decode(line)["dialog"] for line in lines] == ["a", "b"]
    none = valverouter("ledger", "inspect", str(tmp_path / "nowhere"))
    assert none.returncode == 2
    assert "no store" in none.stderr
    assert not (tmp_path / "nowhere").exists()
