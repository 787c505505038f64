"""Every key of an operator's file. `deploy/operator.example.json5` is the same with comments.

The file is JSON5. Unknown keys are refused, and each error is one line: file, key path, what was expected.
"""

from __future__ import annotations

import re
from hashlib import blake2b
from typing import Any, Literal

import msgspec
import netaddr
import pyjson5

from ..endpoints.address import BadAddress, Family, parse
from ..endpoints.plan import Options
from ..endpoints.rules import Network, Preference, Rule, Rules, check_template
from ..fleet.options import Options as FleetOptions
from ..ownership.options import Options as OwnerOptions
from ..purges.options import Options as HolderOptions
from ..recovery.options import Options as RecoveryOptions

MOST_BYTES = 4_000_000
_FAMILIES = {family.value: family for family in Family}
_ACTIONS = ("add", "replace", "order")


class BadOperatorFile(Exception):
    """What is wrong, in one line: the key's path and what was expected."""

    def __init__(self, path: str, why: str) -> None:
        super().__init__(f"{path}: {why}" if path else why)


class Match(msgspec.Struct, forbid_unknown_fields=True):
    """All that is given must hold. id: a glob; network: of the server's hostPort."""

    id: str = ""
    zone: str = ""
    kind: str = ""
    network: str = ""


class RuleText(msgspec.Struct, forbid_unknown_fields=True):
    name: str
    match: Match = msgspec.field(default_factory=Match)
    add: list[str] = []
    replace: list[str] = []
    order: list[str] = []
    last: bool = False


class DelayText(msgspec.Struct, forbid_unknown_fields=True):
    """Between the dials of a race, ms."""

    first_ms: float = 250.0
    least_ms: float = 20.0
    most_ms: float = 250.0


class PauseText(msgspec.Struct, forbid_unknown_fields=True):
    """For which an address is passed over, ms."""

    first_ms: float = 500.0
    most_ms: float = 30_000.0
    stall_ms: float = 5_000.0


class EndpointsText(msgspec.Struct, forbid_unknown_fields=True):
    rules: list[RuleText] = []
    prefer: list[str] = []
    first_family_count: int = 1
    family_few: int = 3
    delay: DelayText = msgspec.field(default_factory=DelayText)
    pause: PauseText = msgspec.field(default_factory=PauseText)


class LogsText(msgspec.Struct, forbid_unknown_fields=True):
    format: Literal["plain", "keyvalue", "json"] = "plain"
    level: Literal["debug", "info", "warning", "error"] = "info"


class PurgesText(msgspec.Struct, forbid_unknown_fields=True):
    feeds: list[str]
    token_file: str
    dir: str = ""
    retention_s: float = 604_800.0
    skew_ms: float = 0.0
    delay_ms: float = 3_000.0
    strict: list[str] = []
    cut_off_per_s: float = 20.0
    start_wait_ms: float = 5_000.0
    order_kinds: list[str] = []
    orders_per_s: float = 50.0
    origin_per_s: float = 0.0
    lost: Literal["void", "serve"] = "void"


class RecoveryText(msgspec.Struct, forbid_unknown_fields=True):
    """dir: a lasting folder of this director alone; empty: nothing that was learnt is kept."""

    dir: str = ""
    every_s: float = 5.0
    most_age_s: float = 120.0


class FleetText(msgspec.Struct, forbid_unknown_fields=True):
    """The audit of the fleet: which director acted on which version. dir: a lasting folder of this director
    alone."""

    dir: str = ""
    report_ms: float = 500.0
    board: str = "main"
    board_ms: float = 0.0
    alone: Literal["out", "strict"] = "out"
    enforce: bool = True
    trail_mb: float = 4.0


class OwnersText(msgspec.Struct, forbid_unknown_fields=True):
    """One owner at a time for the fleet's work: orders to servers, by shards."""

    length_ms: float = 3_000.0
    shards: int = 16


class OperatorText(msgspec.Struct, forbid_unknown_fields=True):
    endpoints: EndpointsText = msgspec.field(default_factory=EndpointsText)
    purges: PurgesText | None = None
    recovery: RecoveryText | None = None
    fleet: FleetText | None = None
    owners: OwnersText | None = None
    logs: LogsText = msgspec.field(default_factory=LogsText)


class Operator(msgspec.Struct, frozen=True):
    """A checked file, in the words of those who use it."""

    options: Options
    rules: Rules
    logs: LogsText
    purges: HolderOptions | None = None
    recovery: RecoveryOptions | None = None
    fleet: FleetOptions | None = None
    owners: OwnerOptions | None = None


def read_operator(data: bytes) -> Operator:
    """Raises BadOperatorFile."""
    if len(data) > MOST_BYTES:
        raise BadOperatorFile("", f"{len(data)} bytes; expected {MOST_BYTES} at most")
    try:
        raw = pyjson5.decode(data.decode("utf-8"))
    except UnicodeDecodeError as error:
        raise BadOperatorFile("", f"byte {error.start} is not UTF-8; expected JSON5 in UTF-8") from None
    except pyjson5.Json5DecoderException as error:
        why = " ".join(str(error.args[0] if error.args else error).split())
        raise BadOperatorFile("", f"{_line(data.decode(), why)}{why}; expected JSON5") from None
    try:
        text = msgspec.convert(raw, OperatorText)
    except msgspec.ValidationError as error:
        raise _worded(str(error)) from None
    purges = None if text.purges is None else _purges(text.purges)
    rules = _rules(text.endpoints.rules)
    return Operator(
        _options(text.endpoints), rules, text.logs, purges, _recovery(text), _fleet(text), _owners(text)
    )


def _recovery(text: OperatorText) -> RecoveryOptions | None:
    """Phases are told wherever something has to be caught up with, or is kept."""
    if text.recovery is None:
        return RecoveryOptions() if text.purges is not None else None
    told = text.recovery
    _bounded("recovery.every_s", told.every_s, 1, 600)
    _bounded("recovery.most_age_s", told.most_age_s, 1, 3600)
    return RecoveryOptions(told.dir, told.every_s * 1000.0, told.most_age_s * 1000.0)


def _fleet(text: OperatorText) -> FleetOptions | None:
    told = text.fleet
    if told is None:
        return None
    if text.purges is None:
        raise BadOperatorFile("fleet", "needs purges.feeds; expected feeds that take reports")
    _bounded("fleet.report_ms", told.report_ms, 100, 10_000)
    if told.board_ms:  # it says every second that it is there
        _bounded("fleet.board_ms", told.board_ms, 2_000, 600_000)
    _bounded("fleet.trail_mb", told.trail_mb, 0.1, 100)
    if not told.board or len(told.board) > 64:
        raise BadOperatorFile("fleet.board", f"{told.board[:64]!r}; expected a name of up to 64 characters")
    return FleetOptions(
        told.dir,
        told.report_ms,
        told.board,
        told.board_ms,
        told.alone,
        told.enforce,
        int(told.trail_mb * 1e6),
        _digest(text),
    )


def _owners(text: OperatorText) -> OwnerOptions | None:
    if text.owners is None:
        return None
    if text.purges is None or not text.purges.order_kinds:
        why = "needs purges.order_kinds; expected kinds of servers that take orders"
        raise BadOperatorFile("owners", why)
    if not len(text.purges.feeds) % 2:
        count = len(text.purges.feeds)
        raise BadOperatorFile("owners", f"{count} feeds; expected an odd number, of which a majority decides")
    _bounded("owners.length_ms", text.owners.length_ms, 500, 60_000)
    _bounded("owners.shards", text.owners.shards, 1, 256)
    return OwnerOptions(text.owners.length_ms, text.owners.shards)


def _digest(text: OperatorText) -> str:
    """Of what the file decides: places and tokens differ from director to director."""
    raw = msgspec.to_builtins(text)
    places = {"purges": ("feeds", "token_file", "dir"), "recovery": ("dir",), "fleet": ("dir",)}
    for part, keys in places.items():
        for key in keys:
            (raw.get(part) or {}).pop(key, None)
    return blake2b(msgspec.json.encode(raw, order="sorted"), digest_size=8).hexdigest()


def _line(text: str, message: str) -> str:
    found = re.search(r"near (\d+)", message)
    return f"line {text.count(chr(10), 0, int(found[1])) + 1}: " if found else ""


def _worded(message: str) -> BadOperatorFile:
    """msgspec's words in ours: `Expected `int`, got `str` - at `$.a[0].b``; what is unknown with the
    known."""
    what, _, at = message.partition(" - at `$")
    path = at.rstrip("`").lstrip(".")
    if unknown := re.fullmatch(r"Object contains unknown field `(.*)`", what):
        known = ", ".join(_type_at(path).cls.__struct_fields__)
        return BadOperatorFile(f"{path}.{unknown[1]}".lstrip("."), f"unknown key; expected one of {known}")
    if what.startswith("Invalid enum value"):
        known = ", ".join(_type_at(path).values)
        return BadOperatorFile(path, f"{what[19:].strip()}; expected one of {known}")
    return BadOperatorFile(path or "the whole file", what[:1].lower() + what[1:].replace("`", ""))


def _type_at(path: str) -> Any:
    kind: Any = msgspec.inspect.type_info(OperatorText)
    for step in re.findall(r"\w+|\[[^]]*\]", path):
        if step.startswith("["):
            kind = kind.item_type
        else:
            kind = next(field.type for field in kind.fields if field.name == step)
        if isinstance(kind, msgspec.inspect.UnionType):  # a part that may be left out
            kind = next(one for one in kind.types if not isinstance(one, msgspec.inspect.NoneType))
    return kind


def _bounded(path: str, value: float, least: float, most: float) -> float:
    if not least <= value <= most:
        raise BadOperatorFile(path, f"{value:g}; expected a number from {least:g} to {most:g}")
    return value


def _options(text: EndpointsText) -> Options:
    at, delay, pause = "endpoints", text.delay, text.pause
    _bounded(f"{at}.first_family_count", text.first_family_count, 1, 16)
    _bounded(f"{at}.family_few", text.family_few, 1, 100)
    # RFC 8305 section 5: never under 10 ms
    _bounded(f"{at}.delay.least_ms", delay.least_ms, 10, 2_000)
    _bounded(f"{at}.delay.most_ms", delay.most_ms, delay.least_ms, 2_000)
    _bounded(f"{at}.delay.first_ms", delay.first_ms, delay.least_ms, delay.most_ms)
    _bounded(f"{at}.pause.first_ms", pause.first_ms, 10, 600_000)
    _bounded(f"{at}.pause.most_ms", pause.most_ms, pause.first_ms, 3_600_000)
    _bounded(f"{at}.pause.stall_ms", pause.stall_ms, 10, 3_600_000)
    return Options(
        _order(f"{at}.prefer", text.prefer),
        text.first_family_count,
        delay.first_ms,
        delay.least_ms,
        delay.most_ms,
        pause.first_ms,
        pause.most_ms,
        pause.stall_ms,
        text.family_few,
    )


def _purges(text: PurgesText) -> HolderOptions:
    feeds = []
    for place, feed in enumerate(text.feeds):
        try:
            address = parse(feed)
        except BadAddress as error:
            raise BadOperatorFile(f"purges.feeds[{place}]", str(error)) from None
        if address.family is Family.UNIX:
            raise BadOperatorFile(f"purges.feeds[{place}]", f"{feed!r}; expected an IP address and a port")
        feeds.append((address.host, address.port))
    if not feeds:
        raise BadOperatorFile("purges.feeds", "expected at least one feed")
    _bounded("purges.retention_s", text.retention_s, 60, 31_536_000)
    _bounded("purges.skew_ms", text.skew_ms, 0, 60_000)
    # a feed says every second that it is there
    _bounded("purges.delay_ms", text.delay_ms, 2_000, 600_000)
    _bounded("purges.cut_off_per_s", text.cut_off_per_s, 0, 1_000_000)
    _bounded("purges.orders_per_s", text.orders_per_s, 1, 1_000_000)
    _bounded("purges.origin_per_s", text.origin_per_s, 0, 1_000_000)
    _bounded("purges.start_wait_ms", text.start_wait_ms, 0, 30_000)
    return HolderOptions(
        tuple(feeds),
        text.token_file,
        text.dir,
        text.retention_s * 1000.0,
        text.skew_ms,
        text.delay_ms,
        frozenset(text.strict),
        text.cut_off_per_s,
        text.start_wait_ms,
        frozenset(text.order_kinds),
        text.orders_per_s,
        text.origin_per_s,
        text.lost,
    )


def _rules(texts: list[RuleText]) -> Rules:
    rules, names = [], set()
    for place, text in enumerate(texts):
        at = f"endpoints.rules[{place}]"
        if not text.name or text.name in names:
            raise BadOperatorFile(f"{at}.name", f"{text.name!r}; expected a name that no other rule has")
        names.add(text.name)
        if sum(bool(getattr(text, action)) for action in _ACTIONS) != 1:
            raise BadOperatorFile(at, f"expected exactly one of {', '.join(_ACTIONS)}")
        for action in ("add", "replace"):
            for number, template in enumerate(getattr(text, action)):
                try:
                    check_template(template)
                except BadAddress as error:
                    raise BadOperatorFile(f"{at}.{action}[{number}]", str(error)) from None
        network = _network(f"{at}.match.network", text.match.network) if text.match.network else None
        rules.append(
            Rule(
                text.name,
                text.match.id,
                text.match.zone,
                text.match.kind,
                network,
                tuple(text.add),
                tuple(text.replace),
                _order(f"{at}.order", text.order),
                text.last,
            )
        )
    return Rules(rules)


def _order(path: str, texts: list[str]) -> tuple[Preference, ...]:
    return tuple(
        _FAMILIES[text] if text in _FAMILIES else _network(f"{path}[{place}]", text, "a family or ")
        for place, text in enumerate(texts)
    )


def _network(path: str, text: str, also: str = "") -> Network:
    try:
        network = netaddr.IPNetwork(text)
    except (netaddr.AddrFormatError, ValueError):
        also = f"unix, ipv4, ipv6 or {also.removeprefix('a family or ')}" if also else ""
        raise BadOperatorFile(path, f"{text!r}; expected {also}a network such as 10.1.0.0/16") from None
    return Network(network.cidr.network.packed, network.prefixlen)
