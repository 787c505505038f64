"""What an operator's file says of the audit."""

from __future__ import annotations

import msgspec

from .tenure import Alone


class Options(msgspec.Struct, frozen=True):
    """Times in ms. dir: a lasting folder of this director alone, empty: what a killed process had not
    reported yet is unknown. board: the operators' name for who tells the list, the same at all directors
    that hear the same one. board_ms: without a word from the board for so long nothing is sent; 0: as the
    platform wants it. alone: what a director does that asks and is not answered. enforce: false only reports,
    and holds nothing back. digest: of the operator's file, places left out."""

    dir: str = ""
    report_ms: float = 500.0
    board: str = "main"
    board_ms: float = 0.0
    alone: Alone = "out"
    enforce: bool = True
    trail_bytes: int = 4_000_000
    digest: str = ""
