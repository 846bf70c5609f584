"""Configuration files of a raft server and of a supervisor, for the tests of the control plane."""

from __future__ import annotations

import socket
from pathlib import Path

RAFT_SERVER = """[seat]
name = c0
listen = 127.0.0.1:7000
key = key
store = store
council = c0 127.0.0.1:7000, c1 127.0.0.1:7001, c2 127.0.0.1:7002

[limits edge proxies]
most = 4
in_region = 2
"""
SUPERVISOR = """[keeper]
name = e0
listen = 127.0.0.1:7100
key = key
store = store
council = c0 127.0.0.1:7000
asks = 127.0.0.1:7200
version = v1

[version v1]
command = true --yes
"""


def free_port() -> int:
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as probe:
        probe.bind(("127.0.0.1", 0))
        return int(probe.getsockname()[1])


def write_settings(folder: Path, text: str) -> Path:
    """Writes a configuration file and the key file that it names, and returns the former's path."""
    key = folder / "key"
    key.write_bytes(b"s" * 40)
    key.chmod(0o600)
    file = folder / "file.ini"
    file.write_text(text)
    return file
