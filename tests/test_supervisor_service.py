"""What survives a restart of a supervisor: its state on disk, and the process that it started."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

import pytest
import trio

from valverouter.fleet.managed_process import ManagedProcess
from valverouter.ledger.storage import StoreLockedError
from valverouter.ledger.supervisor_store import SupervisorStore, open_supervisor_store
from valverouter.rollout.supervisor_state import Step, SupervisorState


def test_a_supervisor_s_state_is_stored_and_a_damaged_store_is_set_aside(tmp_path: Path) -> None:
    path = tmp_path / "store"
    state = SupervisorState(
        "v2", False, process="12 34", running_version="v2", steps=[Step(7, 0, "r", "done")]
    )
    store, loaded, problem = open_supervisor_store(path)
    assert (loaded, problem) == (None, "")
    store.save(state)
    with pytest.raises(StoreLockedError):
        SupervisorStore(path)
    store.close()
    store, loaded, problem = open_supervisor_store(path)
    assert loaded == state
    assert not problem
    store.close()
    data = (path / "data.mdb").read_bytes()
    (path / "data.mdb").write_bytes(data.replace(b"12 34", b"12 35"))
    store, loaded, problem = open_supervisor_store(path)
    assert loaded is None
    assert "damaged" in problem
    store.close()


async def test_a_process_is_reattached_by_its_process_id_and_start_time() -> None:
    child = subprocess.Popen([sys.executable, "-c", "import time; time.sleep(60)"])
    first = ManagedProcess(child.pid)
    reattached = ManagedProcess.reattach(first.identity)
    assert reattached is not None
    assert reattached.pid == child.pid
    assert ManagedProcess.reattach(f"{child.pid} 1") is None, "another process with the same id"
    assert ManagedProcess.reattach("") is None
    assert ManagedProcess.reattach("x y") is None
    child.kill()
    with trio.fail_after(5):
        await reattached.wait()
    assert ManagedProcess.reattach(first.identity) is None, "a zombie that has not been reaped"
    child.wait()
    first.close()
    reattached.close()
