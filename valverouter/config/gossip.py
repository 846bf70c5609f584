"""Configuration of gossip within the fleet, [between]: addresses, seeds, periods and the shared key."""

from __future__ import annotations

import ipaddress
from hashlib import blake2b
from typing import Annotated

from msgspec import Meta, Struct

from valverouter.config.ini import IniFile, NonEmptyText, TextList, is_host_and_port

MS, SECOND = 10**6, 10**9
# Size limits of a key file, bytes. A shorter key could be guessed; a longer file is not a key file.
MIN_KEY_SIZE, MAX_KEY_SIZE = 32, 4_096
# Bytes of a region's name that gossip messages can carry.
MAX_REGION_SIZE = 64

GossipPeriod = Annotated[int, Meta(ge=50 * MS, le=60 * SECOND, extra={"as": "span"})]
RetentionPeriod = Annotated[int, Meta(ge=10 * SECOND, le=24 * 3_600 * SECOND, extra={"as": "span"})]


class _GossipSection(Struct, frozen=True):
    listen: NonEmptyText
    key: NonEmptyText
    seeds: TextList = ()
    advertise: str = ""
    also: str = ""
    period: GossipPeriod = SECOND
    remembers: RetentionPeriod = 300 * SECOND


class GossipConfig(Struct, frozen=True):
    """[between]: how an instance takes part in the gossip of its fleet. Durations in nanoseconds.

    `advertise`: the address at which others reach this instance, if it differs from `listen`. `keys`: the
    first one authenticates sent datagrams; received ones may use any. `seeds`: addresses of members to join
    through; each is contacted as long as no member is known at it. `remembers`: how long the records of
    members that are gone are kept.
    """

    listen: str
    keys: tuple[bytes, ...]
    seeds: tuple[str, ...] = ()
    advertise: str = ""
    period: int = SECOND
    remembers: int = 300 * SECOND


def gossip_config(ini: IniFile, region: str) -> GossipConfig | None:
    """Reads the section [between]; None if absent. Adds problems, including those of key files, to `ini`."""
    if "between" not in ini.sections:
        return None
    section = ini.read_section("between", _GossipSection)
    if section is None:
        return None
    for key in ("listen", "advertise"):
        if text := getattr(section, key):
            check_address(ini, "between", key, text, is_reachable=key == "advertise")
    for seed in section.seeds:
        check_address(ini, "between", "seeds", seed, is_reachable=True)
    if len(region.encode()) > MAX_REGION_SIZE:
        ini.add_problem(
            "edge",
            "region",
            f"longer than {MAX_REGION_SIZE} bytes, the longest name that [between] can transmit",
        )
    keys = [
        load_key(ini, "between", name, path)
        for name, path in (("key", section.key), ("also", section.also))
        if path
    ]
    return GossipConfig(
        section.listen,
        tuple(key for key in keys if key),
        section.seeds,
        section.advertise,
        section.period,
        section.remembers,
    )


def check_address(ini: IniFile, section: str, key: str, text: str, is_reachable: bool) -> None:
    """Adds a problem if `text` is not IP:PORT or, with `is_reachable`, if others could not send to it.

    Host names are not accepted, since resolving one would block the sending of datagrams.
    """
    host, _, port = text.rpartition(":")
    try:
        ip = ipaddress.ip_address(host.strip("[]"))
    except ValueError:
        ip = None
    if ip is None or not is_host_and_port(text):
        ini.add_problem(section, key, f"{text!r} is not IP:PORT")
    elif is_reachable and (int(port) == 0 or ip.is_unspecified):
        ini.add_problem(section, key, f"{text!r} is not an address that others can send to")


def load_key(ini: IniFile, section: str, name: str, path: str) -> bytes:
    """Returns the key derived from a key file, b"" if it has a problem. No message reveals its contents."""
    file = ini.folder / path
    try:
        with file.open("rb") as open_file:
            data = open_file.read(MAX_KEY_SIZE + 1).strip()
            mode = file.stat().st_mode
    except OSError as error:
        ini.add_problem(section, name, f"{path}: {error.strerror or 'cannot be read'}")
        return b""
    if mode & 0o007:
        ini.add_problem(
            section, name, f"{path}: is accessible to all users (mode {mode & 0o777:o}); use 600 or 640"
        )
    elif len(data) < MIN_KEY_SIZE:
        ini.add_problem(
            section, name, f"{path}: {len(data)} bytes are too short for a key; use {MIN_KEY_SIZE} or more"
        )
    elif len(data) > MAX_KEY_SIZE:
        ini.add_problem(section, name, f"{path}: longer than {MAX_KEY_SIZE} bytes, so it is not a key file")
    else:
        return derive_key(data)
    return b""


def derive_key(secret: bytes) -> bytes:
    """Derives the 32-byte key that authenticates datagrams."""
    return blake2b(secret, digest_size=32, person=b"valverouter-betw").digest()
