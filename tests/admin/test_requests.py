"""Parsing of admin requests from a method and a target, and rejection of all others."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from gladelane.admin.requests import AdminAction, AdminRequest, InvalidAdminRequestError, parse_request


@pytest.mark.parametrize("method,target,expected", [
    ("GET", "/healthcheck", AdminRequest(AdminAction.HEALTH)), ("GET", "/stats?format=text", AdminRequest(AdminAction.STATS)),
    ("POST", "/healthcheck/fail", AdminRequest(AdminAction.FAIL)), ("POST", "http://x:1/healthcheck/ok", AdminRequest(AdminAction.OK)),
    ("POST", "/caches/s-00c41f7a/maint", AdminRequest(AdminAction.MAINT, "s-00c41f7a")),
    ("POST", "/caches/a%2Fb%20%C3%A4/ready", AdminRequest(AdminAction.READY, "a/b ä")),
])  # fmt: skip
def test_valid_requests_are_parsed(method: str, target: str, expected: AdminRequest) -> None:
    assert parse_request(method, target) == expected


@pytest.mark.parametrize("method,target,status", [
    ("GET", "/", 404), ("GET", "/caches/x/reload", 404), ("POST", "/caches/x", 404), ("POST", "/caches/a/b/maint", 404),
    ("POST", "/stats", 405), ("GET", "/healthcheck/fail", 405), ("GET", "/caches/x/maint", 405), ("HEAD", "/healthcheck", 405),
    ("POST", "/caches//maint", 400), ("POST", "/caches/%ff/maint", 400), ("POST", "/caches/%00/ready", 400),
    ("POST", f"/caches/{'x' * 257}/maint", 400), ("GET", "healthcheck", 404), ("OPTIONS", "*", 404),
])  # fmt: skip
def test_invalid_requests_are_rejected(method: str, target: str, status: int) -> None:
    with pytest.raises(InvalidAdminRequestError) as caught:
        parse_request(method, target)
    assert caught.value.response.status == status and not caught.value.response.is_success


@given(st.text(max_size=30), st.text(max_size=60))
def test_any_text_gives_a_request_or_a_client_error(method: str, target: str) -> None:
    try:
        assert isinstance(parse_request(method, target), AdminRequest)
    except InvalidAdminRequestError as error:
        assert 400 <= error.response.status < 500
