"""Tests of the settings for membership and for faults between instances: valid values and rejections."""

from __future__ import annotations

import socket
import sys
from pathlib import Path

import pytest
import trio

from tests.membership_service_harness import (
    EDGE_SECTIONS,
    GOSSIP_SECTION,
    KEY,
    SCENARIO_FILE,
    SECOND,
    write_key_file,
)
from valverouter.config.edge import edge_config
from valverouter.config.gossip import MIN_KEY_SIZE
from valverouter.config.ini import IniFile, InvalidConfigError
from valverouter.config.scenario import scenario_config


def test_a_valid_section(tmp_path: Path) -> None:
    write_key_file(tmp_path)
    ini = IniFile(EDGE_SECTIONS + GOSSIP_SECTION.replace("KEY", "key"), "e.ini", tmp_path)
    gossip_config = edge_config(ini).between
    assert gossip_config is not None
    assert gossip_config.keys == (KEY,)
    assert gossip_config.seeds == ("127.0.0.1:7001", "[::1]:7002")
    assert gossip_config.period == SECOND
    assert edge_config(IniFile(EDGE_SECTIONS, "e.ini")).between is None, (
        "without the section, membership is disabled"
    )


@pytest.mark.parametrize(
    ("old", "new", "expected"),
    [
        ("key = KEY", "key = away", "[between] key: away: No such file"),
        ("key = KEY", "key = open", "is accessible to all users (mode 644); use 600 or 640"),
        ("key = KEY", "key = short", f"9 bytes are too short for a key; use {MIN_KEY_SIZE} or more"),
        ("key = KEY", "", "[between] key: missing, and it has no default"),
        ("listen = 127.0.0.1:0", "listen = localhost:7", "'localhost:7' is not IP:PORT"),
        ("listen = 127.0.0.1:0", "listen = 127.0.0.1:70000", "'127.0.0.1:70000' is not IP:PORT"),
        ("[::1]:7002", "127.0.0.1:0", "'127.0.0.1:0' is not an address that others can send to"),
        (
            "seeds =",
            "advertise = 0.0.0.0:5\nseeds =",
            "'0.0.0.0:5' is not an address that others can send to",
        ),
        ("seeds =", "period = 1ms\nseeds =", "[between] period"),
        ("seeds =", "sedes = 1\nseeds =", "unknown key; did you mean seeds?"),
    ],
)
def test_an_invalid_section_is_rejected_with_its_line(
    tmp_path: Path, old: str, new: str, expected: str
) -> None:
    write_key_file(tmp_path)
    (tmp_path / "open").write_text("k" * 40)
    (tmp_path / "open").chmod(0o644)
    (tmp_path / "short").write_text("k" * 9)
    (tmp_path / "short").chmod(0o600)
    text = EDGE_SECTIONS + GOSSIP_SECTION.replace(old, new).replace("KEY", "key")
    with pytest.raises(InvalidConfigError) as error:
        edge_config(IniFile(text, "e.ini", tmp_path))
    problem = str(error.value)
    assert expected in problem
    assert problem.startswith("e.ini:1")
    assert "\n" not in problem


@pytest.mark.parametrize(
    ("old", "new", "expected"),
    [
        ("kind = loss", "kind = los", "unknown kind 'los'; known kinds: loss, late"),
        ("groups = north, south", "groups = north", "a split needs two groups or more"),
        ("start = 4s\non = e3", "start = 4s", "missing: the edge proxies that start late"),
        ("senders = e1", "senders = e9", "'e9' is neither an edge proxy nor a region of this scenario"),
        (
            "[between]\nperiod = 250ms\nremembers = 60s\nseeds = 2\nsettles = 30\n",
            "",
            "there is no [between]",
        ),
    ],
)
def test_invalid_faults_between_edge_proxies_are_rejected(old: str, new: str, expected: str) -> None:
    with pytest.raises(InvalidConfigError) as error:
        scenario_config(IniFile(SCENARIO_FILE.read_text().replace(old, new), "d.ini"), "d")
    assert expected in str(error.value)


async def test_the_program_reports_an_unusable_key_and_an_address_in_use(tmp_path: Path) -> None:
    write_key_file(tmp_path, mode=0o644)
    file = tmp_path / "e.ini"
    file.write_text(EDGE_SECTIONS + GOSSIP_SECTION.replace("KEY", "key"))
    command = [sys.executable, "-m", "valverouter.cli", "edge", str(file)]
    result = await trio.run_process(command, capture_stderr=True, check=False)
    assert result.returncode == 2
    assert result.stderr.count(b"\n") == 1
    assert b"[between] key" in result.stderr
    write_key_file(tmp_path)
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as occupied:
        occupied.bind(("127.0.0.1", 0))
        file.write_text(
            file.read_text().replace(
                "listen = 127.0.0.1:0\nkey", f"listen = 127.0.0.1:{occupied.getsockname()[1]}\nkey"
            )
        )
        result = await trio.run_process(command, capture_stderr=True, check=False)
    assert result.returncode == 3
    assert b"could-not-run" in result.stderr
