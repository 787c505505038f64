"""Operators' calls: what is read of method and target, and that all else is a no."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from gladelane.operations.calls import BadCall, Call, Word, read_call


@pytest.mark.parametrize("method,target,call", [
    ("GET", "/healthcheck", Call(Word.HEALTH)), ("GET", "/stats?format=text", Call(Word.STATS)),
    ("POST", "/healthcheck/fail", Call(Word.FAIL)), ("POST", "http://x:1/healthcheck/ok", Call(Word.OK)),
    ("POST", "/caches/s-00c41f7a/maint", Call(Word.MAINT, "s-00c41f7a")),
    ("POST", "/caches/a%2Fb%20%C3%A4/ready", Call(Word.READY, "a/b ä")),
])  # fmt: skip
def test_a_call_is_read(method: str, target: str, call: Call) -> None:
    assert read_call(method, target) == call


@pytest.mark.parametrize("method,target,status", [
    ("GET", "/", 404), ("GET", "/caches/x/reload", 404), ("POST", "/caches/x", 404), ("POST", "/caches/a/b/maint", 404),
    ("POST", "/stats", 405), ("GET", "/healthcheck/fail", 405), ("GET", "/caches/x/maint", 405), ("HEAD", "/healthcheck", 405),
    ("POST", "/caches//maint", 400), ("POST", "/caches/%ff/maint", 400), ("POST", "/caches/%00/ready", 400),
    ("POST", f"/caches/{'x' * 257}/maint", 400), ("GET", "healthcheck", 404), ("OPTIONS", "*", 404),
])  # fmt: skip
def test_what_is_no_call_is_a_no(method: str, target: str, status: int) -> None:
    with pytest.raises(BadCall) as caught:
        read_call(method, target)
    assert caught.value.answer.status == status and not caught.value.answer.yes


@given(st.text(max_size=30), st.text(max_size=60))
def test_any_text_is_a_call_or_a_no(method: str, target: str) -> None:
    try:
        assert isinstance(read_call(method, target), Call)
    except BadCall as error:
        assert 400 <= error.answer.status < 500
