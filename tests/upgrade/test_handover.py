"""The hand-over's form, and what was learnt: every damage is passed over, and nothing is spent twice."""

from __future__ import annotations

import logging
from pathlib import Path

import pytest
from conftest import Driver, members
from hypothesis import given
from hypothesis import strategies as st

from gladelane.choice import Router
from gladelane.interface import ListKind, Member, Members
from gladelane.net.config import Flush, Notice
from gladelane.upgrade import file
from gladelane.upgrade.handover import HEAD, LEARNT_MS, VERSION, Handover, Unusable, decode, encode
from gladelane.upgrade.learnt import restore, split_off

NOW = 1_000_000.0
WHOLE = Handover("n0 a:1", NOW, {"c0": 5.0}, {"c1": 6.0}, 7.0, 9, [Notice(8, flush=Flush(3.0, collection=4))],
                 learnt=split_off(Driver().router))  # fmt: skip


def test_what_is_written_is_read() -> None:
    assert decode(encode(WHOLE), "n0 a:1", NOW + 1.0) == WHOLE


@given(st.integers(0, len(encode(WHOLE)) - 1), st.integers(1, 255), st.booleans())
def test_a_torn_or_changed_document_is_never_taken(place: int, by: int, torn: bool) -> None:
    data = bytearray(encode(WHOLE))
    if torn:
        del data[place:]
    else:
        data[place] ^= by
    with pytest.raises(Unusable, match="byte"):
        decode(bytes(data), "n0 a:1", NOW)


@given(st.binary(max_size=200))
def test_any_bytes_are_a_document_or_unusable(data: bytes) -> None:
    with pytest.raises(Unusable):
        decode(data, "n0 a:1", NOW)


def test_foreign_and_other_versions_are_passed_over_and_old_lessons_left_out() -> None:
    data = encode(WHOLE)
    with pytest.raises(Unusable, match="of 'n0 a:1'; expected 'n1 a:1'"):
        decode(data, "n1 a:1", NOW)
    for version in (VERSION - 1, VERSION + 1):
        head = HEAD.unpack_from(data)
        with pytest.raises(Unusable, match=f"byte 8: version {version}"):
            decode(HEAD.pack(head[0], version, *head[2:]) + data[HEAD.size :], "n0 a:1", NOW)
    for now in (NOW + LEARNT_MS + 1.0, NOW - 1.0):
        old = decode(data, "n0 a:1", now)
        assert (
            old.learnt is None and old.out == {"c0": 5.0} and old.failed_ms == 7.0
        )  # orders hold however old


def test_the_file_is_replaced_as_a_whole_and_what_is_unusable_is_one_line(
    tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    assert file.read(str(tmp_path), "n0 a:1", NOW) is None and not caplog.records
    assert file.write(str(tmp_path), WHOLE) and file.read(str(tmp_path), "n0 a:1", NOW) == WHOLE
    assert [path.name for path in tmp_path.iterdir()] == [file.NAME]
    (tmp_path / file.NAME).write_bytes(b"half")
    with caplog.at_level(logging.WARNING):
        assert file.read(str(tmp_path), "n0 a:1", NOW) is None
        assert not file.write(str(tmp_path / "nowhere"), WHOLE)
    assert len(caplog.records) == 2 and "ends at byte 4" in caplog.text


def learned() -> Driver:
    driver = Driver(members(2))
    for part in range(6):
        driver.serve(object=5, part=part % 3)
        driver.serve(object=part + 10)
    return driver


def test_what_was_learnt_goes_over_and_budgets_are_split() -> None:
    old = learned().router
    old.stores["c0"].tokens.left, old.stores["c0"].tokens.at_ms = 80.0, 4.0
    old.stores["c1"].trip(old.now)
    retries, hedges = old.retries, old.hedges
    new = Router(old.settings, 9)
    new.handle(old.now, Members(ListKind.COMPLETE, members(2)))
    restore(new, split_off(old))
    assert new.retries + old.retries == pytest.approx(retries) and new.hedges + old.hedges == pytest.approx(
        hedges
    )
    assert new.stores["c0"].tokens.left == old.stores["c0"].tokens.left == 40.0
    assert new.stores["c1"].resting(old.now) and new.work_of == old.work_of
    assert new.objects.keys() == old.objects.keys() and list(new.objects) == list(old.objects)
    assert all(new.objects[key] == entry for key, entry in old.objects.items()) and new.objects[5].admitted


def test_nothing_is_given_of_a_store_that_has_come_up_anew_or_is_not_listed() -> None:
    old = learned().router
    old.stores["c1"].trip(old.now)
    new = Router(old.settings, 9)
    fresh = (Member("c1", "edge", "box", came_up_ms=old.now), Member("root", "hub", "root"))
    new.handle(old.now, Members(ListKind.COMPLETE, fresh))
    restore(new, split_off(old))
    assert new.stores.keys() == {"c1", "root"} and not new.stores["c1"].resting(old.now)
