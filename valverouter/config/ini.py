"""Reads INI files into typed sections and collects every problem with its file, line, key and reason.

Sections are read into msgspec Structs. A field's annotation determines how its text is parsed: `Duration`
accepts 300ms or 1.5 s and yields integer nanoseconds, `TextList` accepts a comma-separated list, bool yes or
no. Bounds are declared with msgspec's Meta.
"""

from __future__ import annotations

import configparser
import difflib
import re
import typing
from collections.abc import Mapping
from decimal import Decimal
from pathlib import Path
from typing import Annotated, Any, TypeVar

import msgspec
from msgspec import Meta, Struct

from valverouter.config.grammar import NANOSECONDS_PER_UNIT, SYNTAX_REASONS
from valverouter.config.reader import lazy_reader

_READERS = {start: lazy_reader(start) for start in SYNTAX_REASONS}
# The last line of a file that uses an end marker. If a later read lacks it, the file was truncated.
END_MARKER = "# end of terms"
# Bytes. A file is read and checked while dialogs are routed, so it must not take long, whatever its contents.
MAX_FILE_SIZE = 256 * 1024
# About three years in nanoseconds: precise enough as a float, and accepted by every timer.
MAX_DURATION = 10**17

Duration = Annotated[int, Meta(ge=0, le=MAX_DURATION, extra={"as": "span"})]
PositiveDuration = Annotated[int, Meta(gt=0, le=MAX_DURATION, extra={"as": "span"})]
Fraction = Annotated[float, Meta(ge=0, le=1)]
TextList = Annotated[tuple[str, ...], Meta(extra={"as": "words"})]
IntegerList = Annotated[tuple[int, ...], Meta(extra={"as": "words"})]
NonNegativeInteger = Annotated[int, Meta(ge=0)]
PositiveInteger = Annotated[int, Meta(ge=1, le=10**12)]
PositiveNumber = Annotated[float, Meta(gt=0, le=1e12)]
RatePerSecond = Annotated[float, Meta(gt=0, extra={"as": "rate"})]
NonEmptyText = Annotated[str, Meta(min_length=1)]

TRUE_WORDS, FALSE_WORDS = ("yes", "true", "on", "1"), ("no", "false", "off", "0")

Section = TypeVar("Section", bound=Struct)


class ConfigProblem(Struct, frozen=True):
    """One problem of a configuration file; `line` is 0 if it concerns the whole file."""

    file: str
    line: int
    section: str
    key: str
    reason: str

    def __str__(self) -> str:
        """Formats the problem as one line for commands and logs."""
        place = f"{self.file}:{self.line}" if self.line else self.file
        name = f"[{self.section}] {self.key}".strip() if self.section else self.key
        return f"{place}: {name}: {self.reason}" if name else f"{place}: {self.reason}"


class InvalidConfigError(Exception):
    """Raised for an invalid configuration; `problems` has all of its problems."""

    def __init__(self, problems: list[ConfigProblem]) -> None:
        """Sets the error's text, one line for each problem."""
        super().__init__("\n".join(map(str, problems)))
        self.problems = problems


def parse_duration(text: str) -> int:
    """Parses a duration into nanoseconds; raises ValueError, whose text states the accepted format."""
    return int(_READERS["span"](text.strip()))


def format_duration(ns: int) -> str:
    """Formats a duration with a suitable unit; `parse_duration` returns exactly the same number."""
    units = ("h", "min", "s", "ms", "us")
    unit = next((unit for unit in units if ns and ns % NANOSECONDS_PER_UNIT[unit] == 0), "ns")
    if unit == "ns" and ns >= 10**6:
        return f"{(Decimal(ns) / 10**6).normalize():f}ms"
    return f"{ns // NANOSECONDS_PER_UNIT[unit]}{unit}"


class IniFile:
    """The sections of an INI file, the line of each key, and the problems found so far."""

    def __init__(self, text: str, name: str, folder: Path = Path()) -> None:
        """Parses `text`; `name` is the file's name in messages, `folder` the base of its relative paths."""
        self.name = name
        self.folder = folder
        self.problems: list[ConfigProblem] = []
        self.sections: dict[str, dict[str, str]] = {}
        self.text = text
        self.has_end_marker = text.rstrip().endswith(END_MARKER)
        self._lines: dict[tuple[str, str], int] = {}
        parser = configparser.ConfigParser(
            interpolation=None, strict=True, default_section="\0", inline_comment_prefixes=("#", ";")
        )
        parser.optionxform = str  # type: ignore[assignment,method-assign]
        try:
            parser.read_string(text, name)
        except configparser.Error as error:
            line = getattr(error, "lineno", None) or next(
                (number for number, _ in getattr(error, "errors", [])), 0
            )
            self.add_problem("", "", _describe(error), line)
            return
        self.sections = {section: dict(parser[section]) for section in parser.sections()}
        section = ""
        for number, row in enumerate(text.splitlines(), 1):
            if line_match := re.match(r"\[(.+)\]", row):
                section = line_match[1]
                self._lines[section, ""] = number
            elif line_match := re.match(r"([^\s#;=:][^=:]*?)\s*[=:]", row):
                self._lines.setdefault((section, line_match[1]), number)

    @classmethod
    def load(cls, path: Path) -> IniFile:
        """Loads the file at `path`; failure to read it is recorded as a problem, not raised."""
        try:
            with path.open("rb") as file:
                data = file.read(MAX_FILE_SIZE + 1)
            if len(data) <= MAX_FILE_SIZE:
                return cls(data.decode("utf-8-sig"), str(path), path.parent)
            reason = f"longer than {MAX_FILE_SIZE} bytes"
        except (OSError, UnicodeDecodeError) as error:
            reason = getattr(error, "strerror", None) or "not UTF-8 text"
        empty = cls("", str(path))
        empty.add_problem("", "", reason)
        return empty

    def line_of(self, section: str, key: str = "") -> int:
        """Returns the line of a key, or of its section if the key is missing; 0 for an unknown section."""
        return self._lines.get((section, key), self._lines.get((section, ""), 0))

    def add_problem(self, section: str, key: str, reason: str, line: int | None = None) -> None:
        """Adds a problem; `line` defaults to the line of the key."""
        self.problems.append(
            ConfigProblem(
                self.name, self.line_of(section, key) if line is None else line, section, key, reason
            )
        )

    def names_of(self, kind: str) -> list[str]:
        """Returns the names X of the sections [`kind` X], in file order."""
        return [s[len(kind) + 1 :].strip() for s in self.sections if s.startswith(f"{kind} ")]

    def check_sections(self, single: typing.Iterable[str], named: typing.Iterable[str]) -> None:
        """Adds a problem for each section that is not in `single`, nor [KIND NAME] of a kind in `named`."""
        known = [*single, *(f"{kind} NAME" for kind in named)]
        for section in self.sections:
            kind, _, name = section.partition(" ")
            if section in single:
                continue
            if kind not in named:
                self.add_problem(section, "", f"unknown section; known sections: {', '.join(known)}")
            elif not name or name != name.strip():
                # names_of strips names, so this section would be mistaken for another one, or not be found.
                self.add_problem(section, "", f"a name must follow after one space, as in [{kind} NAME]")

    def read_section(
        self, section: str, section_type: type[Section], required: bool = True
    ) -> Section | None:
        """Reads a section into a Struct; None if it has a problem, or is absent although `required`."""
        if section not in self.sections:
            if required and not self.problems:
                self.add_problem(section, "", "the section is missing", 0)
            return None if required else section_type()
        previous_problems, values = len(self.problems), {}
        fields = {field.encode_name: field for field in msgspec.structs.fields(section_type)}
        for key, text in self.sections[section].items():
            field = fields.get(key)
            if field is None:
                matches = difflib.get_close_matches(key, fields, 1)
                hint = f"did you mean {matches[0]}?" if matches else f"known keys: {', '.join(fields)}"
                self.add_problem(section, key, f"unknown key; {hint}")
                continue
            try:
                values[field.name] = _convert(text, field.type)
            except (ValueError, msgspec.ValidationError) as error:
                reason = str(error) if repr(text) in str(error) else f"{text!r}: {error}"
                self.add_problem(section, key, reason)
        for key, field in fields.items():
            if field.required and key not in self.sections[section]:
                self.add_problem(section, key, "missing, and it has no default", self.line_of(section))
        return section_type(**values) if len(self.problems) == previous_problems else None

    def read_sections(self, kind: str, section_type: type[Section]) -> dict[str, Section | None]:
        """Reads the sections [`kind` NAME] by name, in file order; None for an invalid one."""
        return {name: self.read_section(f"{kind} {name}", section_type) for name in self.names_of(kind)}

    def raise_problems(self) -> None:
        """Raises InvalidConfigError with the problems sorted by line, if there are any."""
        if self.problems:
            raise InvalidConfigError(sorted(self.problems, key=lambda problem: problem.line))


def present(section: Section | None) -> Section:
    """Returns the section, for callers that know it was read: it has defaults, or there are no problems."""
    assert section is not None
    return section


def valid_sections(sections: Mapping[str, Section | None]) -> dict[str, Section]:
    """Returns the sections that were read without a problem."""
    return {name: section for name, section in sections.items() if section is not None}


def is_host_and_port(text: str) -> bool:
    """Returns whether the text is HOST:PORT, with a port number below 65,536."""
    host, colon, port = text.rpartition(":")
    has_both = bool(host and colon) and not re.search(r"\s", host) and port.isascii() and port.isdigit()
    return has_both and int(port) < 65_536


def _convert(text: str, field_type: Any) -> Any:
    # A field of type `X | None` is None if its key is absent; otherwise the text is parsed as X, the first
    # type argument.
    annotation = typing.get_args(field_type)[0] if type(None) in typing.get_args(field_type) else field_type
    syntax = next((m.extra["as"] for m in getattr(annotation, "__metadata__", ()) if m.extra), None)
    value: Any = text
    if syntax in _READERS:
        value = _READERS[syntax](text.strip())
    elif syntax == "words":
        value = tuple(word for word in (part.strip() for part in text.split(",")) if word)
    elif field_type is bool:
        if text.lower() not in TRUE_WORDS + FALSE_WORDS:
            raise ValueError(f"{text!r} is neither yes nor no")
        value = text.lower() in TRUE_WORDS
    return msgspec.convert(value, field_type, strict=False)


def _describe(error: configparser.Error) -> str:
    match error:
        case configparser.DuplicateOptionError():
            return f"[{error.section}] {error.option} is given twice"
        case configparser.DuplicateSectionError():
            return f"[{error.section}] is given twice"
        case configparser.MissingSectionHeaderError():
            return "a line before the first [section]"
        case _:
            return "a line that is neither [section] nor key = value"
