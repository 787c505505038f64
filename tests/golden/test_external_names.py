"""Golden keywords, metric names and digests that other programs read.

The code derives them from internal names or keeps them next to such names, so a rename in the code could
change them by mistake.
"""

from __future__ import annotations

import asyncio
import json
import random
from pathlib import Path
from typing import Any

import pytest
from harness import config, settings

from gladelane.audit.activity_log import ActivityInterval, ClassCounts, first_seal, with_seal
from gladelane.audit.digests import settings_digest
from gladelane.audit.view import View, list_digest, view_id
from gladelane.audit.view_lease import Stage
from gladelane.deployment.wire import settings_from_wire
from gladelane.discovery.events import watch_event_decoder
from gladelane.endpoints.plan import Endpoints
from gladelane.net.config import read_config
from gladelane.net.director import Director
from gladelane.net.exchange import Attempt, ClientRequest
from gladelane.recovery.phases import Phase, Reason
from gladelane.recovery.warm_start import settings_digest as learned_state_settings_digest
from gladelane.routing.events import Event, Fetch, Members, State
from gladelane.server import Server
from gladelane.settings.operator import read_operator
from gladelane.timer_wheel import TimerWheel

SETTINGS = settings_from_wire(settings())
OBJECT = "7f3a9c21e0b4d655"
OPERATOR_SETTINGS = {
    "purges": {"feeds": ["127.0.0.1:9"], "token_file": "TOKENS", "start_wait_ms": 0},
    "recovery": {},
    "fleet": {},
}
#: flags of a `Fetch` in the order of their declaration -> hints in the line sent to the cache
HINTS_BY_FLAGS = {
    (False, False, False, False): None,
    (True, False, False, False): "coalesce",
    (False, True, False, False): "shallow",
    (False, False, True, False): "transit",
    (False, False, False, True): "freshen",
    (True, True, True, True): "coalesce+shallow+transit+freshen",
}
#: lifecycle in an event of the endpoint list -> state of the store that the router receives
STATE_BY_LIFECYCLE = {"in_service": "ready", "terminating": "draining", "terminated": "gone"}
METRIC_NAMES = (
    "calls.film.success calls.film.busy calls.film.failure calls.sheet.success calls.sheet.busy "
    "calls.sheet.failure inflight backend_calls hosts_listed hosts_down reconfig_ok reconfig_failed withdrawn "
    "unusable task_failures memory_resident memory_peak memory_budget memory_used.frames memory_used.requests "
    "memory_used.replies memory_used.answers memory_denied.frames memory_denied.requests "
    "memory_denied.replies memory_denied.answers phase phase_reason phase_since_ms full_service_ms warm_start purges_standing "
    "purges_known_since_ms feeds_followed renewals renewals_refused renewals_bind reseeded answers_superseded audit_stage "
    "audit_tenure_ms audit_span audit_spans_waiting audit_refused audit_held_up audit_void"
).split()


class FakeRouter:
    """Stands in for the router: records each event and returns the given actions for the first one."""

    def __init__(self, *actions: Any) -> None:
        self.actions, self.events = list(actions), list[Event]()

    def handle(self, now_ms: float, event: Event) -> list[Any]:
        self.events.append(event)
        actions, self.actions = self.actions, []
        return actions


class RecordingSender:
    def __init__(self) -> None:
        self.sent: list[Attempt] = []

    def send(self, attempt: Attempt) -> None:
        self.sent.append(attempt)


def make_director() -> Director:
    def clock() -> float:
        return 1000.0

    return Director(SETTINGS, 1, clock, TimerWheel(clock), Endpoints(random.Random(1)), 100)


def encode_list_event(lifecycle: str) -> str:
    return (
        '{"rev":1,"pool":{"reset":true,"instances":[{"instanceId":"c1","hostPort":"127.0.0.1:9","zone":"edge",'
        f'"machineType":"box","lifecycle":"{lifecycle}"}}]}}}}'
    )


@pytest.mark.parametrize("flags", HINTS_BY_FLAGS)
def test_each_flag_of_a_fetch_becomes_its_hint(flags: tuple[bool, bool, bool, bool]) -> None:
    director, sender = make_director(), RecordingSender()
    director.sender = sender  # type: ignore[assignment]
    director.apply_watch_event(watch_event_decoder.decode(encode_list_event("in_service")))
    director.router = FakeRouter(Fetch(1, "c1", 500.0, "c1", 0, 0.0, *flags))  # type: ignore[assignment]
    director.admit(ClientRequest("9b1f03aa5c7e2d41", "film", 1500.0, OBJECT, 0, 17), lambda _: None)
    [attempt] = sender.sent
    assert attempt.fields(1000.0).get("hints") == HINTS_BY_FLAGS[flags]


@pytest.mark.parametrize("lifecycle", STATE_BY_LIFECYCLE)
def test_each_lifecycle_becomes_its_store_state(lifecycle: str) -> None:
    director, router = make_director(), FakeRouter()
    director.router = router  # type: ignore[assignment]
    director.apply_watch_event(watch_event_decoder.decode(encode_list_event(lifecycle)))
    [states] = [
        [store.state.value for store in event.stores] for event in router.events if isinstance(event, Members)
    ]
    assert states == [STATE_BY_LIFECYCLE[lifecycle]]


def test_metric_names_with_all_components_enabled(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setenv("TMPDIR", str(tmp_path))
    (tmp_path / "tokens").write_text("ops a-token-of-24-characters\n")
    operator_file = json.dumps(OPERATOR_SETTINGS).replace("TOKENS", str(tmp_path / "tokens"))

    async def run() -> str:
        node = Server(read_config(config({"c1": "127.0.0.1:9"})), read_operator(operator_file.encode()))
        await node.start()
        try:
            return node.director.report()
        finally:
            await node.close()

    names = [line.partition("=")[0] for line in asyncio.run(run()).splitlines()]
    assert names == [f"director.{name}" for name in METRIC_NAMES]


def test_labels_and_numbers_of_escalation_stages() -> None:
    """Responses of a control server hold these labels, its verdicts the numbers."""
    labels = {int(stage): stage.label for stage in Stage}
    assert labels == {0: "well", 1: "told", 2: "again", 3: "kept", 4: "emptied", 5: "out"}


def test_names_and_numbers_of_recovery_phases_and_their_reasons() -> None:
    """`fleet status` prints these names for the numbers in the metrics."""
    phases = {int(phase): phase.name.lower() for phase in Phase}
    reasons = {int(reason): reason.name.lower() for reason in Reason}
    assert phases == {1: "starting", 2: "catching_up", 3: "ramping", 4: "full"}
    assert reasons == {
        0: "none",
        1: "no_clients_yet",
        2: "no_feed",
        3: "cut_off",
        4: "renewing",
        5: "served",
        6: "too_young",
    }


def test_the_digest_of_settings_in_director_reports() -> None:
    assert settings_digest(SETTINGS) == "7ecddc9b757436c2"


def test_the_digest_of_settings_that_identifies_stored_learned_state() -> None:
    assert learned_state_settings_digest(SETTINGS) == "a8da96beaf4ca902dfe3c799"


def test_the_digest_of_an_operator_file_in_director_reports() -> None:
    fleet = read_operator(json.dumps(OPERATOR_SETTINGS).encode()).fleet
    assert fleet is not None
    assert fleet.digest == "dcb92292c7729653"


def test_the_digest_of_an_endpoint_list_in_director_reports() -> None:
    endpoints = {"c2": ("127.0.0.1:9", "READY", 5.0), "c1": ("127.0.0.1:8", "DRAINING", 0.0)}
    assert list_digest(endpoints) == "276a6810a592bd65"


def test_the_state_names_that_the_digest_of_an_endpoint_list_covers() -> None:
    assert sorted(state.name for state in State) == ["DRAINING", "GONE", "READY"]


def test_the_id_and_keys_of_a_view() -> None:
    view = View("main", 41, "ab12", ("c1", "c2"), "feed-a:1=7", 5.5, "cd34", "ef56", "0.1.0")
    assert view_id(view) == "88a8cee8654594fb"
    keys = "board rev list out purges horizon_ms settings operator program"
    assert list(view.answer_fields()) == keys.split()


def test_the_seals_of_activity_intervals() -> None:
    initial_seal = first_seal("n0 127.0.0.1:4100", 1764667000000)
    interval = with_seal(
        initial_seal,
        ActivityInterval(3, 10.0, 20.5, "1a2b", {"film": ClassCounts(5, 4, 1, 0, 2)}, 7.5, "stopped"),
    )
    assert (initial_seal, interval.seal) == ("e478dc49e80c090b", "9be9105689f6a12c")
