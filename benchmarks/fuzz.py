"""Fuzzing of what reads bytes from outside: `python -m benchmarks.fuzz [--quick] [--seed N]`.

Random and mutated inputs to the log's recovery, scopes, positions, purges as they travel, addresses and
operators' files. A fault is any exception that is not the reader's own; a shortened log that does not say so
is one too. The last line says how many inputs were tried; exits with 1 at a fault, which is printed with its
input.
"""

from __future__ import annotations

import json
import random
import sys
import time
from collections.abc import Callable
from typing import Any

import msgspec

from gladelane.control_plane.positions import InvalidPositionError, format_vector, parse_vector
from gladelane.endpoints.address import InvalidAddressError
from gladelane.endpoints.address import parse as parse_address
from gladelane.lab.simdisk import SimDisk
from gladelane.purges.active_purges import ActivePurges
from gladelane.purges.purge import InvalidPurgeError
from gladelane.purges.scope import InvalidScopeError
from gladelane.purges.scope import parse as parse_scope
from gladelane.purges.wire import event_decoder, submit_decoder
from gladelane.settings.operator import OperatorFileError, read_operator
from gladelane.sse import EventStream
from gladelane.storage.log import CorruptLogError, recover

SEEDS = {
    "scope": [
        b"objects:7f3a* & class:page | group:3",
        b"parts:0-7 & objects:?a*1",
        b"tag:a | all",
        b"objects:7..8",
    ],
    "vector": [b"a:5=3,b:9=1", b"feed-1:1764576000000=12"],
    "event": [b'{"purges":[["a",1,2,3.5,"group:1","k"]],"mark":"a:1=2"}', b'{"mark":""}'],
    "submit": [b'{"scope":"tag:x","tags":{"x":"group:1"}}'],
    "address": [b"10.0.0.1:80", b"[fe80::1%lo]:80", b"unix:/run/a.sock", b"unix:@a"],
    "operator": [
        b"{endpoints: {rules: [{name: 'a', add: ['unix:@{id}']}], prefer: ['ipv4', 'fd00::/8']}} // x",
    ],
    "stream": [b"data: {}\n\ndata: a\r\ndata: b\n\n: c\n"],
}


def log_bytes() -> bytes:
    """A log of eight records, as it lies on disk."""
    disk = SimDisk()
    log, _ = recover(disk)
    for n in range(8):
        log.append(b"payload %d" % n * (n + 1))
    log.commit()
    return disk.read(disk.names()[0])


INTACT_LOG = log_bytes()


def mutated(rng: random.Random, data: bytes) -> bytes:
    """The same bytes with a few changes."""
    made = bytearray(data)
    for _ in range(rng.randrange(1, 6)):
        place = rng.randrange(len(made) + 1)
        match rng.randrange(5):
            case 0:
                made[place:place] = rng.randbytes(rng.randrange(1, 5))
            case 1:
                del made[place : place + rng.randrange(1, 9)]
            case 2 if place < len(made):
                made[place] ^= 1 << rng.randrange(8)
            case 3:
                made[place:place] = made[rng.randrange(len(made) + 1) :][: rng.randrange(1, 20)]
            case _:
                del made[place:]
    return bytes(made)


def try_scope(data: bytes) -> None:
    """A scope has to be read again from its own text."""
    scope = parse_scope(data.decode("utf-8", "replace"), {"a": "objects:a*", "x": "tag:x"})
    assert parse_scope(scope.text()) == scope


def try_vector(data: bytes) -> None:
    """So has a vector of positions."""
    vector = parse_vector(data.decode("utf-8", "replace"))
    assert parse_vector(format_vector(vector)) == vector


def try_event(data: bytes) -> None:
    """What an event carries can be applied, stored and restored."""
    event = event_decoder.decode(data)
    active = ActivePurges()
    for purge in event.purges:
        active.apply(purge, 1.7e12)
    ActivePurges().restore(active.snapshot(), 1.7e12)


def try_stream(data: bytes) -> None:
    """Events are the same, whatever the pieces in which they come."""
    at_once = list(EventStream().feed(data))
    parts = EventStream()
    assert at_once == [event for place in range(len(data)) for event in parts.feed(data[place : place + 1])]


def try_log(data: bytes) -> None:
    """What recovery leaves out of a log, it has to report."""
    disk = SimDisk()
    disk.put("0000000000000000.log", data)
    found = recover(disk)[1]
    if len(found.records) < 8 and data[: len(INTACT_LOG)] != INTACT_LOG:
        remaining = disk.size("0000000000000000.log") if disk.names() else 0
        assert remaining + found.truncated_bytes == len(data), "bytes went without a word"


TRIES: dict[str, tuple[Callable[[bytes], Any], tuple[type[Exception], ...]]] = {
    "scope": (try_scope, (InvalidScopeError,)),
    "vector": (try_vector, (InvalidPositionError,)),
    "event": (try_event, (msgspec.MsgspecError, InvalidPurgeError, InvalidPositionError, InvalidScopeError)),
    "submit": (submit_decoder.decode, (msgspec.MsgspecError,)),
    "address": (lambda data: parse_address(data.decode("utf-8", "replace")), (InvalidAddressError,)),
    "operator": (read_operator, (OperatorFileError,)),
    "stream": (try_stream, ()),
    "log": (try_log, (CorruptLogError,)),
}


def main() -> int:
    """The exit code."""
    words = sys.argv[1:]
    seed = int(words[words.index("--seed") + 1]) if "--seed" in words else 1
    rng, tried, faults = random.Random(seed), dict.fromkeys(TRIES, 0), 0
    end = time.monotonic() + (12.0 if "--quick" in words else 300.0)
    while time.monotonic() < end:
        for name, (call, own) in TRIES.items():
            base = INTACT_LOG if name == "log" else rng.choice(SEEDS[name])
            data = mutated(rng, base) if rng.random() < 0.9 else rng.randbytes(rng.randrange(60))
            tried[name] += 1
            try:
                call(data)
            except own:
                pass
            except Exception as error:
                faults += 1
                print(f"{name}: {type(error).__name__} {error}: {data!r}")
                if faults > 20:
                    return 1
    print(json.dumps({"seed": seed, "inputs": sum(tried.values()), "faults": faults, **tried}))
    return 1 if faults else 0


if __name__ == "__main__":
    sys.exit(main())
