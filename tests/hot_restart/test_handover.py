"""The handover document and learned state: damaged documents are rejected, and no budget is spent twice."""

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
    MAX_LEARNED_STATE_AGE_MS,
    VERSION,
    Handover,
    LocalHandover,
    decode,
    encode,
    to_local_time,
)
from gladelane.hot_restart.handover_file import FILE_NAME, HandoverFile
from gladelane.hot_restart.learned_state import LearnedState, restore, split_learned_state
from gladelane.routing.events import ListKind, Member, Members
from gladelane.routing.idempotency import KeyWindows
from gladelane.routing.router import Router

NOW = 1_000_000.0
BOOT = "a boot"
HOUR_MS = 3_600_000.0
COMPLETE = Handover("n0 a:1", NOW, {"c0": 5.0}, {"c1": 6.0}, 7.0, 9, [WatchEvent(8, flush=PurgeEvent(3.0, collection=4))],
                 learned_state=split_learned_state(Driver().router))  # fmt: skip


def test_an_encoded_handover_decodes_to_the_same_document() -> None:
    assert decode(encode(COMPLETE), "n0 a:1") == COMPLETE


@given(st.integers(0, len(encode(COMPLETE)) - 1), st.integers(1, 255), st.booleans())
def test_a_truncated_or_modified_document_is_rejected(
    position: int, xor_mask: int, is_truncated: bool
) -> None:
    data = bytearray(encode(COMPLETE))
    if is_truncated:
        del data[position:]
    else:
        data[position] ^= xor_mask
    with pytest.raises(HandoverError, match="byte"):
        decode(bytes(data), "n0 a:1")


@given(st.binary(max_size=200))
def test_arbitrary_bytes_are_rejected_with_a_handover_error(data: bytes) -> None:
    with pytest.raises(HandoverError):
        decode(data, "n0 a:1")


def test_documents_of_other_directors_and_versions_are_rejected_and_old_learned_state_is_dropped() -> None:
    data = encode(COMPLETE)
    with pytest.raises(MismatchError, match="of 'n0 a:1'; expected 'n1 a:1'"):
        decode(data, "n1 a:1")
    for version in (VERSION - 1, VERSION + 1):
        head = HEADER.unpack_from(data)
        with pytest.raises(MismatchError, match=f"byte 8: version {version}"):
            decode(HEADER.pack(head[0], version, *head[2:]) + data[HEADER.size :], "n0 a:1")
    written = msgspec.structs.replace(COMPLETE, boot_id=BOOT, zero_ms=0.0)
    fresh, expired, from_future = (
        to_local_time(written, clock_at(NOW + age_ms))
        for age_ms in (0.0, MAX_LEARNED_STATE_AGE_MS + 1.0, -2.0)
    )
    assert fresh == LocalHandover(written, True) and fresh.document.learned_state is not None
    for document in (expired.document, from_future.document):  # operators' requests stay in force
        assert (
            document.learned_state is None
            and document.maintenance_started_ms.keys() == {"c0"}
            and document.draining_since_ms
        )
    assert (
        expired.document.maintenance_started_ms == {"c0": 5.0} and expired.document.draining_since_ms == 7.0
    )
    assert expired.has_valid_times and not from_future.has_valid_times


def clock_at(now_ms: float, zero_ms: float = 0.0, boot_id: str = BOOT) -> Clock:
    """The clock of a process whose wall clock is `zero_ms` ahead of its monotonic clock, at the start and
    now. `now_ms` is the time of the monotonic clock."""
    return Clock(lambda: (now_ms + zero_ms) / 1000.0, lambda: now_ms / 1000.0, boot_id)


class OlderHandover(msgspec.Struct, array_like=True):
    """The handover document of versions without `boot_id` and `zero_ms`."""

    name: str
    written_ms: float
    maintenance_started_ms: dict[str, float] = {}
    maintenance_ended_ms: dict[str, float] = {}
    draining_since_ms: float = 0.0
    rev: int = 0
    watch_events: list[WatchEvent] = []
    keys: dict[str, list[tuple[float, str]]] = {}
    learned_state: LearnedState | None = None


@pytest.mark.parametrize("step_ms", [0.0, HOUR_MS, -HOUR_MS, 4000.0, -4000.0, 50.0, -50.0])
def test_handover_times_survive_a_wall_clock_step_between_the_two_starts(step_ms: float) -> None:
    learned_state = split_learned_state(busy_driver().router)
    learned_state.stores[0].ejected_until_ms, learned_state.stores[0].tokens = (
        NOW + 300.0,
        (8.0, NOW - 50.0, 0.0),
    )
    written = Handover("n0 a:1", NOW, {"c0": NOW - 9.0}, {}, NOW - 7.0, 9, [],
                       {"k": [(NOW - 400.0, "r0")]}, learned_state, BOOT, HOUR_MS)  # fmt: skip
    reader = clock_at(NOW - HOUR_MS + 5.0, HOUR_MS + step_ms)  # 5 ms after the document was written
    local = to_local_time(decode(encode(written), "n0 a:1"), reader)
    received, has_valid_times = local.document, local.has_valid_times
    now = reader.now()
    assert has_valid_times and now - received.written_ms == pytest.approx(5.0, abs=0.01)
    assert [now - at_ms for at_ms, _ in received.keys["k"]] == pytest.approx([405.0], abs=0.01)
    assert [now - received.maintenance_started_ms["c0"], now - received.draining_since_ms] == pytest.approx(
        [14.0, 12.0], abs=0.01
    )
    assert received.learned_state is not None
    store = received.learned_state.stores[0]
    assert [store.ejected_until_ms - now, now - store.tokens[1]] == pytest.approx([295.0, 55.0], abs=0.01)
    assert [store.started_at_ms for store in received.learned_state.stores] == [
        entry.started_at_ms for entry in learned_state.stores
    ]


@pytest.mark.parametrize("boot_id", ["", "another boot"])
def test_undated_key_attempts_count_as_past_their_window_and_learned_state_is_dropped(boot_id: str) -> None:
    """The document is of an older version, or was written before the machine was rebooted."""
    written = Handover("n0 a:1", NOW, {"c0": 5.0}, {"c1": 6.0}, 7.0, 9, [],
                       {"k": [(NOW - 400.0, "r0"), (NOW, "r1")]}, split_learned_state(busy_driver().router), boot_id)  # fmt: skip
    reader = clock_at(NOW)
    local = to_local_time(decode(encode(written), "n0 a:1"), reader)
    received, has_valid_times = local.document, local.has_valid_times
    assert not has_valid_times and received.learned_state is None
    assert (
        received.maintenance_started_ms.keys() == {"c0"}
        and received.maintenance_ended_ms == {"c1": 6.0}
        and received.draining_since_ms
    )
    retention_ms, now = 3000.0, reader.now()
    keys = KeyWindows(retention_ms, 10)
    keys.take_over_undated(received.keys, now)
    assert keys.first_attempt("k", now)[0] <= now - retention_ms  # no window is open
    assert (
        keys.first_attempt("k", now + retention_ms)[0]
        and not keys.first_attempt("k", now + retention_ms + 1.0)[0]
    )


def test_older_and_current_versions_read_each_others_documents() -> None:
    written = msgspec.structs.replace(COMPLETE, boot_id=BOOT, zero_ms=3.0)
    older = msgspec.msgpack.decode(encode(written)[HEADER.size :], type=OlderHandover)
    shared = OlderHandover.__struct_fields__
    assert [getattr(older, name) for name in shared] == [getattr(COMPLETE, name) for name in shared]
    payload = msgspec.msgpack.encode(older)
    head = HEADER.pack(MAGIC, VERSION, len(payload), crc32c.crc32c(payload))
    assert decode(head + payload, "n0 a:1") == COMPLETE


def test_a_time_keeps_its_date_between_clock_steps_and_older_readers_get_wall_clock_dates() -> None:
    wall, uptime = [NOW], [500.0]
    writer = Clock(lambda: wall[0], lambda: uptime[0], BOOT)
    now_ms, shared = writer.now(), writer.shared_clock()
    wall[0] += 5.0005  # the wall clock is slewed by half a ms
    uptime[0] += 5.0
    assert writer.shared_clock() == shared
    wall[0] += 3600.0
    stepped = writer.shared_clock()
    assert float(writer.date(now_ms, stepped)) == pytest.approx(NOW * 1000.0 + HOUR_MS, abs=1.0)
    reader = Clock(lambda: wall[0], lambda: uptime[0], BOOT)
    for sent in (shared, stepped):
        shift_ms = reader.shift_from(sent)
        assert shift_ms is not None
        local_ms = float(writer.date(now_ms, sent)) + shift_ms
        assert reader.now() - local_ms == pytest.approx(5000.0, abs=0.01)


def test_the_file_is_replaced_atomically_and_an_unusable_one_is_logged_once(
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


def busy_driver() -> Driver:
    driver = Driver(members(2))
    for part in range(6):
        driver.serve(object=5, part=part % 3)
        driver.serve(object=part + 10)
    return driver


def test_learned_state_is_restored_and_budgets_are_split() -> None:
    old = busy_driver().router
    old.stores["c0"].tokens.credit, old.stores["c0"].tokens.at_ms = 80.0, 4.0
    old.stores["c1"].eject(old.context.now_ms)
    retries, hedges = old.budgets.retries, old.budgets.hedges
    new = Router(old.settings, 9)
    new.handle(old.context.now_ms, Members(ListKind.COMPLETE, members(2)))
    restore(new, split_learned_state(old))
    assert new.budgets.retries + old.budgets.retries == pytest.approx(
        retries
    ) and new.budgets.hedges + old.budgets.hedges == pytest.approx(hedges)
    assert new.stores["c0"].tokens.credit == old.stores["c0"].tokens.credit == 40.0
    assert new.stores["c1"].is_ejected(old.context.now_ms) and new.work.mean_ms == old.work.mean_ms
    assert new.objects.keys() == old.objects.keys() and list(new.objects) == list(old.objects)
    assert all(new.objects[key] == entry for key, entry in old.objects.items()) and new.objects[5].admitted


def test_learned_state_of_restarted_or_unlisted_stores_is_not_restored() -> None:
    old = busy_driver().router
    old.stores["c1"].eject(old.context.now_ms)
    new = Router(old.settings, 9)
    fresh = (Member("c1", "edge", "box", started_at_ms=old.context.now_ms), Member("root", "hub", "root"))
    new.handle(old.context.now_ms, Members(ListKind.COMPLETE, fresh))
    restore(new, split_learned_state(old))
    assert new.stores.keys() == {"c1", "root"} and not new.stores["c1"].is_ejected(old.context.now_ms)


def test_an_object_key_beyond_msgpack_range_does_not_block_the_snapshot() -> None:
    """The key of the last object id, 2**64, is too large for msgpack, so the object is left out."""
    driver = Driver()
    for key in (7, 2**64):
        driver.serve(object=key)
    learned_state = split_learned_state(driver.router)
    written = Handover("n0 a:1", NOW, learned_state=learned_state)
    received = decode(encode(written), "n0 a:1").learned_state
    assert received is not None and [entry.key for entry in received.objects] == [7]
