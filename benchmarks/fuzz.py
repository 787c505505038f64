"""Fuzzes the readers of external bytes: `python -m benchmarks.fuzz [--quick] [--seed N]`.

Random and mutated inputs go to the recovery of the log, scopes, positions, encoded purges, addresses and
operator files. A fault is any exception that is not the reader's own error type, or a recovery that drops
bytes without a report. The last line has the number of inputs. Exits with 1 at a fault, which is printed with
its input.
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

CORPUS = {
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


def make_log_bytes() -> bytes:
    """Returns the bytes of a log file with eight records."""
    disk = SimDisk()
    log, _ = recover(disk)
    for n in range(8):
        log.append(b"payload %d" % n * (n + 1))
    log.commit()
    return disk.read(disk.names()[0])


INTACT_LOG = make_log_bytes()


def mutate(rng: random.Random, data: bytes) -> bytes:
    """Returns the bytes with a few random changes."""
    result = bytearray(data)
    for _ in range(rng.randrange(1, 6)):
        position = rng.randrange(len(result) + 1)
        match rng.randrange(5):
            case 0:
                result[position:position] = rng.randbytes(rng.randrange(1, 5))
            case 1:
                del result[position : position + rng.randrange(1, 9)]
            case 2 if position < len(result):
                result[position] ^= 1 << rng.randrange(8)
            case 3:
                result[position:position] = result[rng.randrange(len(result) + 1) :][: rng.randrange(1, 20)]
            case _:
                del result[position:]
    return bytes(result)


def check_scope(data: bytes) -> None:
    """Checks that a scope is parsed again from its own text."""
    scope = parse_scope(data.decode("utf-8", "replace"), {"a": "objects:a*", "x": "tag:x"})
    assert parse_scope(scope.text()) == scope


def check_vector(data: bytes) -> None:
    """Checks that a vector of positions is parsed again from its own text."""
    vector = parse_vector(data.decode("utf-8", "replace"))
    assert parse_vector(format_vector(vector)) == vector


def check_event(data: bytes) -> None:
    """Checks that the purges of an event can be applied, stored and restored."""
    event = event_decoder.decode(data)
    active = ActivePurges()
    for purge in event.purges:
        active.apply(purge, 1.7e12)
    ActivePurges().restore(active.snapshot(), 1.7e12)


def check_stream(data: bytes) -> None:
    """Checks that the events are the same whether the bytes come at once or one by one."""
    events_of_whole = list(EventStream().feed(data))
    stream = EventStream()
    assert events_of_whole == [
        event for position in range(len(data)) for event in stream.feed(data[position : position + 1])
    ]


def check_log(data: bytes) -> None:
    """Checks that recovery reports all bytes of a log that it drops."""
    disk = SimDisk()
    disk.put("0000000000000000.log", data)
    recovered = recover(disk)[1]
    if len(recovered.records) < 8 and data[: len(INTACT_LOG)] != INTACT_LOG:
        remaining = disk.size("0000000000000000.log") if disk.names() else 0
        assert remaining + recovered.truncated_bytes == len(data), "recovery dropped bytes without a report"


TARGETS: dict[str, tuple[Callable[[bytes], Any], tuple[type[Exception], ...]]] = {
    "scope": (check_scope, (InvalidScopeError,)),
    "vector": (check_vector, (InvalidPositionError,)),
    "event": (
        check_event,
        (msgspec.MsgspecError, InvalidPurgeError, InvalidPositionError, InvalidScopeError),
    ),
    "submit": (submit_decoder.decode, (msgspec.MsgspecError,)),
    "address": (lambda data: parse_address(data.decode("utf-8", "replace")), (InvalidAddressError,)),
    "operator": (read_operator, (OperatorFileError,)),
    "stream": (check_stream, ()),
    "log": (check_log, (CorruptLogError,)),
}


def main() -> int:
    """Runs the fuzzer and returns the exit code."""
    argv = sys.argv[1:]
    seed = int(argv[argv.index("--seed") + 1]) if "--seed" in argv else 1
    rng, inputs_by_target, faults = random.Random(seed), dict.fromkeys(TARGETS, 0), 0
    end_s = time.monotonic() + (12.0 if "--quick" in argv else 300.0)
    while time.monotonic() < end_s:
        for name, (check, expected_errors) in TARGETS.items():
            base = INTACT_LOG if name == "log" else rng.choice(CORPUS[name])
            data = mutate(rng, base) if rng.random() < 0.9 else rng.randbytes(rng.randrange(60))
            inputs_by_target[name] += 1
            try:
                check(data)
            except expected_errors:
                pass
            except Exception as error:
                faults += 1
                print(f"{name}: {type(error).__name__} {error}: {data!r}")
                if faults > 20:
                    return 1
    print(
        json.dumps(
            {"seed": seed, "inputs": sum(inputs_by_target.values()), "faults": faults, **inputs_by_target}
        )
    )
    return 1 if faults else 0


if __name__ == "__main__":
    sys.exit(main())
