"""The settings of an instance's membership and of the faults between instances, and how they are rejected."""

from __future__ import annotations

import socket
import sys
from pathlib import Path

import pytest
import trio

from tests.membership_service_harness import BETWEEN, DAY, EDGE, KEY, SECOND, key_file
from valverouter.config.edge import edge_config
from valverouter.config.gossip import MIN_KEY_SIZE
from valverouter.config.ini import IniFile, InvalidConfigError
from valverouter.config.scenario import scenario_config


def test_a_valid_section(tmp_path: Path) -> None:
    key_file(tmp_path)
    ini = IniFile(EDGE + BETWEEN.replace("KEY", "key"), "e.ini", tmp_path)
    between = edge_config(ini).between
    assert between is not None
    assert between.keys == (KEY,)
    assert between.seeds == ("127.0.0.1:7001", "[::1]:7002")
    assert between.period == SECOND
    assert edge_config(IniFile(EDGE, "e.ini")).between is None, "without the section there is no view"


@pytest.mark.parametrize(
    ("old", "new", "said"),
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
def test_an_invalid_section_is_rejected_with_its_line(tmp_path: Path, old: str, new: str, said: str) -> None:
    key_file(tmp_path)
    (tmp_path / "open").write_text("k" * 40)
    (tmp_path / "open").chmod(0o644)
    (tmp_path / "short").write_text("k" * 9)
    (tmp_path / "short").chmod(0o600)
    text = EDGE + BETWEEN.replace(old, new).replace("KEY", "key")
    with pytest.raises(InvalidConfigError) as error:
        edge_config(IniFile(text, "e.ini", tmp_path))
    problem = str(error.value)
    assert said in problem
    assert problem.startswith("e.ini:1")
    assert "\n" not in problem


@pytest.mark.parametrize(
    ("old", "new", "said"),
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
def test_invalid_faults_between_edge_proxies_are_rejected(old: str, new: str, said: str) -> None:
    with pytest.raises(InvalidConfigError) as error:
        scenario_config(IniFile(DAY.read_text().replace(old, new), "d.ini"), "d")
    assert said in str(error.value)


async def test_the_program_reports_an_unusable_key_and_an_address_in_use(tmp_path: Path) -> None:
    key_file(tmp_path, mode=0o644)
    file = tmp_path / "e.ini"
    file.write_text(EDGE + BETWEEN.replace("KEY", "key"))
    command = [sys.executable, "-m", "valverouter.cli", "edge", str(file)]
    ended = await trio.run_process(command, capture_stderr=True, check=False)
    assert ended.returncode == 2
    assert ended.stderr.count(b"\n") == 1
    assert b"[between] key" in ended.stderr
    key_file(tmp_path)
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as taken:
        taken.bind(("127.0.0.1", 0))
        file.write_text(
            file.read_text().replace(
                "listen = 127.0.0.1:0\nkey", f"listen = 127.0.0.1:{taken.getsockname()[1]}\nkey"
            )
        )
        ended = await trio.run_process(command, capture_stderr=True, check=False)
    assert ended.returncode == 3
    assert b"could-not-run" in ended.stderr
