"""Compatibility with values stored and sent by earlier versions.

Archived values must be decoded as before, and current ones encoded byte for byte as archived;
tests/stored_values.py says how the archive was made.
"""

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

ARCHIVE = Path(__file__).parent / "data" / "132c5ee"
SAMPLES = stored_values.samples()


def archived_json(name: str) -> Any:
    return json.loads((ARCHIVE / name).read_text())


MESSAGES: dict[str, str] = archived_json("messages.json")


def copy_store(name: str, tmp_path: Path) -> Path:
    """Returns a copy of an archived store, since opening a store writes to its folder."""
    shutil.copytree(ARCHIVE / name, tmp_path / name)
    return tmp_path / name


# Reading


def test_an_archived_dialog_store_is_read(tmp_path: Path) -> None:
    with DialogStore(copy_store("ledger", tmp_path)) as ledger:
        found = {
            record.dialog_id: record
            for record in ledger.records()
            if isinstance(record, lifecycle.DialogRecord)
        }
        assert found == {
            record.dialog_id: record for record in map(stored_values.dialog_record, lifecycle.Phase)
        }
        assert list(ledger.learned_states()) == [stored_values.LEARNED_STATE]
        assert ledger.begin_epoch() == 548


def test_an_archived_raft_store_is_read(tmp_path: Path) -> None:
    with closing(RaftStore(copy_store("council", tmp_path), 1)) as store:
        assert store.load() == PersistentState(
            997, 1009, "c2", stored_values.snapshot(), list(stored_values.entries())
        )


def test_an_archived_supervisor_store_is_read(tmp_path: Path) -> None:
    with closing(SupervisorStore(copy_store("keeper", tmp_path))) as store:
        assert store.load() == stored_values.SUPERVISOR_STATE


def test_an_archived_traffic_record_is_read() -> None:
    assert traffic_record.read_rows(ARCHIVE / "record.jsonl") == list(stored_values.ROWS.values())


def test_archived_recorded_calls_are_read() -> None:
    ini = IniFile("[callers]\nrecord = calls.csv\n", "day", ARCHIVE)
    assert read_calls(ini, "callers", "record") == stored_values.RECORDED_CALLS


@pytest.mark.parametrize("key", MESSAGES)
def test_an_archived_message_is_decoded(key: str) -> None:
    assert SAMPLES[key].decode(bytes.fromhex(MESSAGES[key])) == SAMPLES[key].value


# Writing


@pytest.mark.parametrize("key", SAMPLES)
def test_a_message_is_encoded_as_archived(key: str) -> None:
    assert SAMPLES[key].encode().hex() == MESSAGES[key]


def test_every_archived_message_has_a_sample() -> None:
    assert set(SAMPLES) == set(MESSAGES)


@pytest.mark.parametrize("name", stored_values.STORES)
def test_a_store_is_written_as_archived(name: str, tmp_path: Path) -> None:
    stored_values.STORES[name](tmp_path / name)
    assert stored_values.tables(tmp_path / name) == archived_json(f"{name}.json")


@pytest.mark.parametrize("name", stored_values.STORES)
def test_an_archived_store_matches_its_archived_dump(name: str) -> None:
    assert stored_values.tables(ARCHIVE / name) == archived_json(f"{name}.json")


@pytest.mark.parametrize("name", stored_values.TEXT_FILES)
def test_a_file_or_command_output_is_written_as_archived(name: str, tmp_path: Path) -> None:
    stored_values.TEXT_FILES[name](tmp_path / name)
    assert (tmp_path / name).read_bytes() == (ARCHIVE / name).read_bytes()


def test_an_experiment_run_is_stored_as_archived(tmp_path: Path) -> None:
    assert stored_values.run_row(tmp_path / "runs.sqlite") == archived_json("run.json")


@pytest.mark.parametrize("key", stored_values.enumerations())
def test_an_enumeration_has_its_archived_values(key: str) -> None:
    assert [item.value for item in stored_values.enumerations()[key]] == archived_json("enumerations.json")[
        key
    ]


# Completeness of the samples


def nested_values(value: Any) -> Iterator[Any]:
    """Yields every Struct and dataclass in a value, including the value itself."""
    if isinstance(value, msgspec.Struct):
        yield value
        for name in value.__struct_fields__:
            yield from nested_values(getattr(value, name))
    elif is_dataclass(value):
        yield value
        for field in fields(value):
            yield from nested_values(getattr(value, field.name))
    elif isinstance(value, Mapping):
        for item in value.values():
            yield from nested_values(item)
    elif isinstance(value, list | tuple):
        for item in value:
            yield from nested_values(item)


def instances() -> dict[type[Any], list[Any]]:
    found: dict[type[Any], list[Any]] = {}
    for sample in SAMPLES.values():
        for item in nested_values(sample.value):
            found.setdefault(type(item), []).append(item)
    return found


INSTANCES = instances()


def defaults(kind: type[Any]) -> dict[str, Any]:
    """Returns the default values by field, including those made by factories."""
    struct_fields = msgspec.structs.fields(kind) if issubclass(kind, msgspec.Struct) else fields(kind)
    found: dict[str, Any] = {}
    for field in struct_fields:
        if field.default_factory not in (MISSING, msgspec.NODEFAULT):
            found[field.name] = field.default_factory()
        elif field.default not in (MISSING, msgspec.NODEFAULT):
            found[field.name] = field.default
    return found


@pytest.mark.parametrize(("name", "kind"), list(stored_values.structs()))
def test_every_written_struct_has_a_sample(name: str, kind: type[msgspec.Struct]) -> None:
    assert (kind in INSTANCES) is (kind not in stored_values.NEVER_WRITTEN)


@pytest.mark.parametrize("kind", INSTANCES, ids=lambda kind: f"{kind.__module__}.{kind.__name__}")
def test_every_field_has_a_non_default_value_in_a_sample(kind: type[Any]) -> None:
    """A field that is missing from a message or read from another field would not be noticed otherwise."""
    for name, default in defaults(kind).items():
        assert any(getattr(item, name) != default for item in INSTANCES[kind]), name


def test_tags_are_unchanged() -> None:
    tags = {kind: kind.__struct_config__.tag for _, kind in stored_values.structs()}
    assert {kind: tag for kind, tag in tags.items() if tag is not None} == stored_values.TAGS
