"""Settings of a control plane node and a supervisor that tests begin with."""

from __future__ import annotations

import socket
from pathlib import Path

SEAT = """[seat]
name = c0
listen = 127.0.0.1:7000
key = key
store = store
council = c0 127.0.0.1:7000, c1 127.0.0.1:7001, c2 127.0.0.1:7002

[limits edge proxies]
most = 4
in_region = 2
"""
KEEPER = """[keeper]
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
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as one:
        one.bind(("127.0.0.1", 0))
        return int(one.getsockname()[1])


def written(tmp_path: Path, text: str) -> Path:
    key = tmp_path / "key"
    key.write_bytes(b"s" * 40)
    key.chmod(0o600)
    file = tmp_path / "file.ini"
    file.write_text(text)
    return file
