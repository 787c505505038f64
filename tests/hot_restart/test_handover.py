"""The hand-over's form, and what was learnt: every damage is passed over, and nothing is spent twice."""

from __future__ import annotations

import logging
from pathlib import Path

import crc32c
import msgspec
import pytest
from conftest import Driver, members
from hypothesis import given
from hypothesis import strategies as st

from gladelane.clock import Clock
from gladelane.discovery.events import PurgeEvent, WatchEvent
from gladelane.hot_restart.decoding import HandoverError, MismatchError
from gladelane.hot_restart.handover import (
    HEADER,
    MAGIC,
    MAX_LEARNT_AGE_MS,
    VERSION,
    Handover,
    LocalHandover,
    decode,
    encode,
    to_local_time,
)
from gladelane.hot_restart.handover_file import FILE_NAME, HandoverFile
from gladelane.hot_restart.learnt import Learnt, restore, split_off
from gladelane.routing.events import ListKind, Member, Members
from gladelane.routing.idempotency import KeyWindows
from gladelane.routing.router import Router

NOW = 1_000_000.0
BOOT = "a boot"
HOUR_MS = 3_600_000.0
COMPLETE = Handover("n0 a:1", NOW, {"c0": 5.0}, {"c1": 6.0}, 7.0, 9, [WatchEvent(8, flush=PurgeEvent(3.0, collection=4))],
                 learnt=split_off(Driver().router))  # fmt: skip


def test_what_is_written_is_read() -> None:
    assert decode(encode(COMPLETE), "n0 a:1") == COMPLETE


@given(st.integers(0, len(encode(COMPLETE)) - 1), st.integers(1, 255), st.booleans())
def test_a_torn_or_changed_document_is_never_taken(place: int, by: int, torn: bool) -> None:
    data = bytearray(encode(COMPLETE))
    if torn:
        del data[place:]
    else:
        data[place] ^= by
    with pytest.raises(HandoverError, match="byte"):
        decode(bytes(data), "n0 a:1")


@given(st.binary(max_size=200))
def test_any_bytes_are_a_document_or_unusable(data: bytes) -> None:
    with pytest.raises(HandoverError):
        decode(data, "n0 a:1")


def test_foreign_and_other_versions_are_passed_over_and_old_lessons_left_out() -> None:
    data = encode(COMPLETE)
    with pytest.raises(MismatchError, match="of 'n0 a:1'; expected 'n1 a:1'"):
        decode(data, "n1 a:1")
    for version in (VERSION - 1, VERSION + 1):
        head = HEADER.unpack_from(data)
        with pytest.raises(MismatchError, match=f"byte 8: version {version}"):
            decode(HEADER.pack(head[0], version, *head[2:]) + data[HEADER.size :], "n0 a:1")
    written = msgspec.structs.replace(COMPLETE, boot_id=BOOT, zero_ms=0.0)
    at_once, late, before = (
        to_local_time(written, clock_at(NOW + after)) for after in (0.0, MAX_LEARNT_AGE_MS + 1.0, -2.0)
    )
    assert at_once == LocalHandover(written, True) and at_once.document.learnt is not None
    for old in (late.document, before.document):
        assert old.learnt is None and old.out.keys() == {"c0"} and old.failed_ms  # orders hold however old
    assert late.document.out == {"c0": 5.0} and late.document.failed_ms == 7.0
    assert late.keys_are_dated and not before.keys_are_dated


def clock_at(now_ms: float, zero_ms: float = 0.0, boot_id: str = BOOT) -> Clock:
    """Of a process that started when the wall clock was `zero_ms` ahead of the monotonic clock, as it still
    is; `now_ms` is monotonic."""
    return Clock(lambda: (now_ms + zero_ms) / 1000.0, lambda: now_ms / 1000.0, boot_id)


class OlderHandover(msgspec.Struct, array_like=True):
    """As versions before the last two fields have it."""

    name: str
    written_ms: float
    out: dict[str, float] = {}
    back: dict[str, float] = {}
    failed_ms: float = 0.0
    rev: int = 0
    notices: list[WatchEvent] = []
    keys: dict[str, list[tuple[float, str]]] = {}
    learnt: Learnt | None = None


@pytest.mark.parametrize("step_ms", [0.0, HOUR_MS, -HOUR_MS, 4000.0, -4000.0, 50.0, -50.0])
def test_moments_go_over_whatever_the_wall_clock_did_between_the_two_starts(step_ms: float) -> None:
    learnt = split_off(learned().router)
    learnt.stores[0].ejected_until_ms, learnt.stores[0].tokens = NOW + 300.0, (8.0, NOW - 50.0, 0.0)
    written = Handover("n0 a:1", NOW, {"c0": NOW - 9.0}, {}, NOW - 7.0, 9, [],
                       {"k": [(NOW - 400.0, "r0")]}, learnt, BOOT, HOUR_MS)  # fmt: skip
    reader = clock_at(NOW - HOUR_MS + 5.0, HOUR_MS + step_ms)  # 5 ms after the writing
    local = to_local_time(decode(encode(written), "n0 a:1"), reader)
    taken, keys_are_dated = local.document, local.keys_are_dated
    now = reader.now()
    assert keys_are_dated and now - taken.written_ms == pytest.approx(5.0, abs=0.01)
    assert [now - at_ms for at_ms, _ in taken.keys["k"]] == pytest.approx([405.0], abs=0.01)
    assert [now - taken.out["c0"], now - taken.failed_ms] == pytest.approx([14.0, 12.0], abs=0.01)
    assert taken.learnt is not None
    store = taken.learnt.stores[0]
    assert [store.ejected_until_ms - now, now - store.tokens[1]] == pytest.approx([295.0, 55.0], abs=0.01)
    assert [one.started_at_ms for one in taken.learnt.stores] == [one.started_at_ms for one in learnt.stores]


@pytest.mark.parametrize("boot_id", ["", "another boot"])
def test_what_cannot_be_placed_is_read_carefully(boot_id: str) -> None:
    """Of an older version, or from before the machine's start."""
    written = Handover("n0 a:1", NOW, {"c0": 5.0}, {"c1": 6.0}, 7.0, 9, [],
                       {"k": [(NOW - 400.0, "r0"), (NOW, "r1")]}, split_off(learned().router), boot_id)  # fmt: skip
    reader = clock_at(NOW)
    local = to_local_time(decode(encode(written), "n0 a:1"), reader)
    taken, keys_are_dated = local.document, local.keys_are_dated
    assert not keys_are_dated and taken.learnt is None
    assert taken.out.keys() == {"c0"} and taken.back == {"c1": 6.0} and taken.failed_ms
    retention_ms, now = 3000.0, reader.now()
    keys = KeyWindows(retention_ms, 10)
    keys.take_over_undated(taken.keys, now)
    assert keys.first_attempt("k", now)[0] <= now - retention_ms  # past every window
    assert (
        keys.first_attempt("k", now + retention_ms)[0]
        and not keys.first_attempt("k", now + retention_ms + 1.0)[0]
    )


def test_an_older_version_reads_what_this_one_writes_and_the_other_way_round() -> None:
    written = msgspec.structs.replace(COMPLETE, boot_id=BOOT, zero_ms=3.0)
    older = msgspec.msgpack.decode(encode(written)[HEADER.size :], type=OlderHandover)
    shared = OlderHandover.__struct_fields__
    assert [getattr(older, name) for name in shared] == [getattr(COMPLETE, name) for name in shared]
    payload = msgspec.msgpack.encode(older)
    head = HEADER.pack(MAGIC, VERSION, len(payload), crc32c.crc32c(payload))
    assert decode(head + payload, "n0 a:1") == COMPLETE


def test_a_moment_has_one_date_between_steps_and_an_older_reader_gets_the_wall_clock_s() -> None:
    wall, uptime = [NOW], [500.0]
    writer = Clock(lambda: wall[0], lambda: uptime[0], BOOT)
    moment, shared = writer.now(), writer.shared()
    wall[0] += 5.0005  # slewed by half a ms
    uptime[0] += 5.0
    assert writer.shared() == shared
    wall[0] += 3600.0
    stepped = writer.shared()
    assert float(writer.dated(moment, stepped)) == pytest.approx(NOW * 1000.0 + HOUR_MS, abs=1.0)
    reader = Clock(lambda: wall[0], lambda: uptime[0], BOOT)
    for sent in (shared, stepped):
        shift_ms = reader.shift_from(sent)
        assert shift_ms is not None
        placed_ms = float(writer.dated(moment, sent)) + shift_ms
        assert reader.now() - placed_ms == pytest.approx(5000.0, abs=0.01)


def test_the_file_is_replaced_atomically_and_an_unusable_one_is_logged_in_one_line(
    tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    file = HandoverFile(str(tmp_path))
    assert file.read("n0 a:1") is None and not caplog.records
    assert file.write(COMPLETE) and file.read("n0 a:1") == COMPLETE
    assert [path.name for path in tmp_path.iterdir()] == [FILE_NAME]
    (tmp_path / FILE_NAME).write_bytes(b"half")
    with caplog.at_level(logging.WARNING):
        assert file.read("n0 a:1") is None
        assert not HandoverFile(str(tmp_path / "nowhere")).write(COMPLETE)
    assert len(caplog.records) == 2 and "ends at byte 4" in caplog.text


def learned() -> Driver:
    driver = Driver(members(2))
    for part in range(6):
        driver.serve(object=5, part=part % 3)
        driver.serve(object=part + 10)
    return driver


def test_what_was_learnt_goes_over_and_budgets_are_split() -> None:
    old = learned().router
    old.stores["c0"].tokens.credit, old.stores["c0"].tokens.at_ms = 80.0, 4.0
    old.stores["c1"].eject(old.context.now_ms)
    retries, hedges = old.budgets.retries, old.budgets.hedges
    new = Router(old.settings, 9)
    new.handle(old.context.now_ms, Members(ListKind.COMPLETE, members(2)))
    restore(new, split_off(old))
    assert new.budgets.retries + old.budgets.retries == pytest.approx(
        retries
    ) and new.budgets.hedges + old.budgets.hedges == pytest.approx(hedges)
    assert new.stores["c0"].tokens.credit == old.stores["c0"].tokens.credit == 40.0
    assert new.stores["c1"].is_ejected(old.context.now_ms) and new.work.mean_ms == old.work.mean_ms
    assert new.objects.keys() == old.objects.keys() and list(new.objects) == list(old.objects)
    assert all(new.objects[key] == entry for key, entry in old.objects.items()) and new.objects[5].admitted


def test_nothing_is_given_of_a_store_that_has_come_up_anew_or_is_not_listed() -> None:
    old = learned().router
    old.stores["c1"].eject(old.context.now_ms)
    new = Router(old.settings, 9)
    fresh = (Member("c1", "edge", "box", started_at_ms=old.context.now_ms), Member("root", "hub", "root"))
    new.handle(old.context.now_ms, Members(ListKind.COMPLETE, fresh))
    restore(new, split_off(old))
    assert new.stores.keys() == {"c1", "root"} and not new.stores["c1"].is_ejected(old.context.now_ms)


def test_the_object_with_the_last_id_of_all_keeps_nothing_else_from_going_over() -> None:
    """Its key in the module, 2**64, is more than the hand-over's form can say."""
    driver = Driver()
    for key in (7, 2**64):
        driver.serve(object=key)
    learnt = split_off(driver.router)
    written = Handover("n0 a:1", NOW, learnt=learnt)
    taken = decode(encode(written), "n0 a:1").learnt
    assert taken is not None and [one.key for one in taken.objects] == [7]
