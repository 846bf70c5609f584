"""Configuration files of raft servers, supervisors and clients, and the errors of invalid ones."""

from __future__ import annotations

from pathlib import Path

import pytest

from tests.rollout_settings import RAFT_SERVER, SUPERVISOR, write_settings
from valverouter.config.ini import InvalidConfigError
from valverouter.config.rollout import load_fleet_client, load_raft_server, load_supervisor


def test_valid_files_of_a_raft_server_a_supervisor_and_a_client(tmp_path: Path) -> None:
    raft_server = load_raft_server(write_settings(tmp_path, RAFT_SERVER))
    assert raft_server.limits["edge proxies"].most == 4
    assert list(raft_server.council) == ["c0", "c1", "c2"]
    assert load_fleet_client(tmp_path / "file.ini").council == raft_server.council
    supervisor = load_supervisor(write_settings(tmp_path, SUPERVISOR))
    assert supervisor.commands == {"v1": ("true", "--yes")}
    assert not supervisor.is_server
    assert load_fleet_client(tmp_path / "file.ini").keys == supervisor.keys


@pytest.mark.parametrize(
    ("text", "old", "new", "expected_error"),
    [
        (RAFT_SERVER, "in_region = 2", "in_region = 5", "5 per region are more than 4 in total"),
        (RAFT_SERVER, "most = 4", "most = 0", "most"),
        (RAFT_SERVER, "most = 4", "most = 4\nregions = north 9", "9 in north are more than 4 in total"),
        (RAFT_SERVER, "most = 4", "most = 4\nregions = north", "is not a region and a number"),
        (
            RAFT_SERVER,
            "most = 4",
            "most = 4\nleast_capacity = 1",
            "least_capacity and least_processor must be below 1",
        ),
        (RAFT_SERVER, ", c2 127.0.0.1:7002", "", "2 seats; must be 3 or 5"),
        (RAFT_SERVER, "c1 127.0.0.1:7001", "c1", "is not a seat and its address"),
        (RAFT_SERVER, "c1 127.0.0.1:7001", "c0 127.0.0.1:7001", "c0 is listed twice"),
        (RAFT_SERVER, "name = c0", "name = c9", "c9 itself is not in it"),
        (RAFT_SERVER, "limits edge proxies", "limits edges", "known sections: [limits edge proxies]"),
        (RAFT_SERVER, "key = key", "key = nokey", "nokey: No such file"),
        (SUPERVISOR, "command = true", "command = no-such-program", "there is no program 'no-such-program'"),
        (SUPERVISOR, "command = true", "command = 'open", "No closing quotation"),
        (SUPERVISOR, "version = v1", "version = v2", "there is no [version v2]"),
        (
            SUPERVISOR,
            "asks = 127.0.0.1:7200\n",
            "",
            "the edge proxy's [between] address, at which it is queried",
        ),
        (SUPERVISOR, "asks = 127.0.0.1:7200", "sort = server", "is not HOST:PORT"),
        (SUPERVISOR, "listen = 127.0.0.1:7100", "listen = somewhere", "is not IP:PORT"),
    ],
)
def test_an_invalid_file_is_rejected_with_its_line(
    tmp_path: Path, text: str, old: str, new: str, expected_error: str
) -> None:
    assert old in text
    file = write_settings(tmp_path, text.replace(old, new))
    with pytest.raises(InvalidConfigError) as caught:
        (load_raft_server if text is RAFT_SERVER else load_supervisor)(file)
    (line,) = [line for line in str(caught.value).splitlines() if expected_error in line]
    assert line.startswith(f"{file}:")
