"""The scenarios: where requests wait in the director when their clients abandon them."""

from __future__ import annotations

from dataclasses import dataclass

SMALL_RECEIVE_BUFFER = 4096  # bytes that the kernel accepts for a peer that reads nothing
READ, WRITE = "question-item", "answer-submit"


@dataclass(frozen=True)
class Scenario:
    """Conditions that make requests wait in a certain place of the director, and how clients abandon them."""

    name: str
    class_name: str = READ
    waits_s: tuple[float, float] = (0.0, 0.3)  # from the request until it is abandoned
    response_s: tuple[float, float] = (0.02, 0.25)  # response time of a server
    #: of the answers: these refuse the request without running it, so that another attempt follows
    refused_share: float = 0.0
    body_bytes: int = 0
    are_dials_late: bool = False
    do_servers_pause: bool = False  # whether servers stop reading for a while
    is_sent_in_pieces: bool = False  # whether clients send their frames in pieces
    #: these are cancelled at the end of the same write; 0: a single request, cancelled by a later write
    requests_per_write: int = 0
    answer_bytes: int = 3
    #: of the client, which reads no answers before it abandons its requests; 0: the system's default
    receive_buffer_bytes: int = 0


SCENARIOS = (
    Scenario("a full loop"),
    Scenario("late answers of a cache", refused_share=0.7),
    Scenario("a timer", WRITE, response_s=(0.0, 0.05), refused_share=0.8, waits_s=(0.0, 0.8)),
    Scenario("a dial", WRITE, waits_s=(0.1, 1.3), are_dials_late=True),
    Scenario("unread bytes", body_bytes=24_000, do_servers_pause=True, waits_s=(0.0, 0.4)),
    Scenario("requests in pieces", refused_share=0.5, is_sent_in_pieces=True),
    Scenario("a flood", refused_share=0.5, requests_per_write=8, body_bytes=24_000),
    Scenario("a second copy", response_s=(0.4, 1.2), waits_s=(0.2, 1.2)),
    Scenario(
        "answers nobody takes",
        refused_share=0.5,
        requests_per_write=4,
        answer_bytes=200_000,
        receive_buffer_bytes=SMALL_RECEIVE_BUFFER,
    ),
)
