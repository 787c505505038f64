"""The places where requests wait when their clients leave."""

from __future__ import annotations

from dataclasses import dataclass

NARROW = 4096  # bytes that the system takes for a server that reads nothing
READ, WRITE = "question-item", "answer-submit"


@dataclass(frozen=True)
class Place:
    """Where requests wait when their clients leave, and how it comes about."""

    name: str
    cls: str = READ
    waits_s: tuple[float, float] = (0.0, 0.3)  # from the request to the leave
    answers_s: tuple[float, float] = (0.02, 0.25)  # what a server takes
    refuses: float = 0.0  # share of answers that say 'it never ran': a further attempt follows
    body: int = 0
    late_dials: bool = False
    pauses: bool = False  # servers that read nothing for a while
    pieces: bool = False  # frames come in pieces
    flood: int = 0  # requests in one write, cancelled at its end
    answer_bytes: int = 3
    #: of the client, which reads its answers after its leave only; 0: the system's usual
    receive_buffer: int = 0


PLACES = (
    Place("a full loop"),
    Place("late answers of a cache", refuses=0.7),
    Place("a timer", WRITE, answers_s=(0.0, 0.05), refuses=0.8, waits_s=(0.0, 0.8)),
    Place("a dial", WRITE, waits_s=(0.1, 1.3), late_dials=True),
    Place("unread bytes", body=24_000, pauses=True, waits_s=(0.0, 0.4)),
    Place("requests in pieces", refuses=0.5, pieces=True),
    Place("a flood", refuses=0.5, flood=8, body=24_000),
    Place("a second copy", answers_s=(0.4, 1.2), waits_s=(0.2, 1.2)),
    Place("answers nobody takes", refuses=0.5, flood=4, answer_bytes=200_000, receive_buffer=NARROW),
)
