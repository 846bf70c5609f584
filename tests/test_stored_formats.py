"""What earlier versions stored and sent is read as ever, and what is stored and sent now is the same to the
byte: tests/stored_values.py says how its samples were made."""

from __future__ import annotations

import json
import shutil
from collections.abc import Iterator, Mapping
from contextlib import closing
from dataclasses import MISSING, fields, is_dataclass
from pathlib import Path
from typing import Any

import msgspec
import pytest

from tests import stored_values
from valverouter.config.ini import IniFile
from valverouter.config.recorded_calls import read_calls
from valverouter.ledger.dialog_store import DialogStore
from valverouter.ledger.raft_store import RaftStore
from valverouter.ledger.supervisor_store import SupervisorStore
from valverouter.recovery import lifecycle
from valverouter.rollout.raft_log import PersistentState
from valverouter.signalling import traffic_record

KEPT = Path(__file__).parent / "data" / "132c5ee"
SAMPLES = stored_values.samples()


def kept_json(name: str) -> Any:
    return json.loads((KEPT / name).read_text())


MESSAGES: dict[str, str] = kept_json("messages.json")


def copied_store(name: str, tmp_path: Path) -> Path:
    """Opening a store writes into its folder."""
    shutil.copytree(KEPT / name, tmp_path / name)
    return tmp_path / name


# Reading


def test_a_ledger_of_before_gives_its_records_back(tmp_path: Path) -> None:
    with DialogStore(copied_store("ledger", tmp_path)) as ledger:
        held = {
            record.dialog_id: record
            for record in ledger.records()
            if isinstance(record, lifecycle.DialogRecord)
        }
        assert held == {
            record.dialog_id: record for record in map(stored_values.dialog_record, lifecycle.Phase)
        }
        assert list(ledger.learned_states()) == [stored_values.LEARNED_STATE]
        assert ledger.begin_epoch() == 548


def test_a_councils_store_of_before_gives_its_record_back(tmp_path: Path) -> None:
    with closing(RaftStore(copied_store("council", tmp_path), 1)) as store:
        assert store.load() == PersistentState(
            997, 1009, "c2", stored_values.snapshot(), list(stored_values.entries())
        )


def test_a_keepers_store_of_before_gives_its_memory_back(tmp_path: Path) -> None:
    with closing(SupervisorStore(copied_store("keeper", tmp_path))) as store:
        assert store.load() == stored_values.MEMORY


def test_a_days_rows_of_before_are_read() -> None:
    assert traffic_record.read_rows(KEPT / "record.jsonl") == list(stored_values.ROWS.values())


def test_calls_on_record_of_before_are_read() -> None:
    ini = IniFile("[callers]\nrecord = calls.csv\n", "day", KEPT)
    assert read_calls(ini, "callers", "record") == stored_values.CALLS


@pytest.mark.parametrize("key", MESSAGES)
def test_a_message_of_before_is_understood(key: str) -> None:
    assert SAMPLES[key].decode(bytes.fromhex(MESSAGES[key])) == SAMPLES[key].value


# Writing


@pytest.mark.parametrize("key", SAMPLES)
def test_a_message_is_written_as_before(key: str) -> None:
    assert SAMPLES[key].encode().hex() == MESSAGES[key]


def test_no_kept_message_lacks_its_sample() -> None:
    assert set(SAMPLES) == set(MESSAGES)


@pytest.mark.parametrize("name", stored_values.STORES)
def test_a_store_is_written_as_before(name: str, tmp_path: Path) -> None:
    stored_values.STORES[name](tmp_path / name)
    assert stored_values.tables(tmp_path / name) == kept_json(f"{name}.json")


@pytest.mark.parametrize("name", stored_values.STORES)
def test_a_kept_store_holds_what_is_kept_in_text(name: str) -> None:
    assert stored_values.tables(KEPT / name) == kept_json(f"{name}.json")


@pytest.mark.parametrize("name", stored_values.TEXTS)
def test_a_file_or_print_is_written_as_before(name: str, tmp_path: Path) -> None:
    stored_values.TEXTS[name](tmp_path / name)
    assert (tmp_path / name).read_bytes() == (KEPT / name).read_bytes()


def test_an_experiments_run_is_kept_as_before(tmp_path: Path) -> None:
    assert stored_values.run_row(tmp_path / "runs.sqlite") == kept_json("run.json")


@pytest.mark.parametrize("key", stored_values.enumerations())
def test_an_enumeration_has_the_values_of_before(key: str) -> None:
    assert [one.value for one in stored_values.enumerations()[key]] == kept_json("enumerations.json")[key]


# That nothing is missing


def inside(value: Any) -> Iterator[Any]:
    """Every Struct and dataclass in a sample, itself included."""
    if isinstance(value, msgspec.Struct):
        yield value
        for name in value.__struct_fields__:
            yield from inside(getattr(value, name))
    elif is_dataclass(value):
        yield value
        for field in fields(value):
            yield from inside(getattr(value, field.name))
    elif isinstance(value, Mapping):
        for one in value.values():
            yield from inside(one)
    elif isinstance(value, list | tuple):
        for one in value:
            yield from inside(one)


def instances() -> dict[type[Any], list[Any]]:
    found: dict[type[Any], list[Any]] = {}
    for sample in SAMPLES.values():
        for one in inside(sample.value):
            found.setdefault(type(one), []).append(one)
    return found


INSTANCES = instances()


def defaults(kind: type[Any]) -> dict[str, Any]:
    """By field, where it has one; what a factory makes included."""
    told = msgspec.structs.fields(kind) if issubclass(kind, msgspec.Struct) else fields(kind)
    found: dict[str, Any] = {}
    for field in told:
        if field.default_factory not in (MISSING, msgspec.NODEFAULT):
            found[field.name] = field.default_factory()
        elif field.default not in (MISSING, msgspec.NODEFAULT):
            found[field.name] = field.default
    return found


@pytest.mark.parametrize(("name", "kind"), list(stored_values.structs()))
def test_a_struct_that_is_written_has_a_sample(name: str, kind: type[msgspec.Struct]) -> None:
    assert (kind in INSTANCES) is (kind not in stored_values.NEVER_WRITTEN)


@pytest.mark.parametrize("kind", INSTANCES, ids=lambda kind: f"{kind.__module__}.{kind.__name__}")
def test_a_sample_has_no_field_at_its_default(kind: type[Any]) -> None:
    """A field that is left out of a message, or read from another, would not show otherwise."""
    for name, default in defaults(kind).items():
        assert any(getattr(one, name) != default for one in INSTANCES[kind]), name


def test_tags_are_those_of_before() -> None:
    tags = {kind: kind.__struct_config__.tag for _, kind in stored_values.structs()}
    assert {kind: tag for kind, tag in tags.items() if tag is not None} == stored_values.TAGS
