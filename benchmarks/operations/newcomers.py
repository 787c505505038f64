"""Connections that come while one listener gives way to another: how many are refused or reset."""

from __future__ import annotations

import socket
import threading
import time
from contextlib import suppress
from enum import Enum
from typing import NamedTuple

from gladelane.net.listener import open_listener, redirect_new_connections

CLIENTS = 4
BOTH_S, STEERED_S, NEW_S = 0.05, 0.02, 0.02
ACCEPT_S, READ_S, CONNECT_S = 0.02, 0.5, 1.0


class Change(Enum):
    """How one listener gives way. The values are names of the report."""

    HANDED_OVER = "handed_over"  # the new process gets the same socket
    STEERED = "steered"  # a socket of its own, and the old one gets no new connections
    PLAIN = "plain"  # a socket of its own, and the old one is closed


class Newcomers(NamedTuple):
    """How many were refused or reset, and how many came."""

    lost: int
    came: int


class Listening:
    """A thread that answers newcomers at a listener until it is stopped."""

    def __init__(self, listener: socket.socket) -> None:
        self._listener = listener
        self._stop = threading.Event()
        self._thread = threading.Thread(target=self._run)
        self._thread.start()

    def _run(self) -> None:
        self._listener.settimeout(ACCEPT_S)
        while not self._stop.is_set():
            with suppress(OSError):
                _answer(self._listener.accept()[0])

    def stop(self) -> None:
        """The listener stays open, with what its queue holds."""
        self._stop.set()
        self._thread.join()

    def answer_queued(self) -> None:
        """Those that the system has accepted already."""
        self._listener.setblocking(False)
        with suppress(OSError):
            while True:
                _answer(self._listener.accept()[0])


def _answer(accepted: socket.socket) -> None:
    """One byte for one byte."""
    with accepted, suppress(OSError):
        accepted.settimeout(READ_S)
        if accepted.recv(1):
            accepted.sendall(b"!")


def _come_until(port: int, stop: threading.Event, lost: list[bool]) -> None:
    """Connects again and again; `lost` has for each connection whether it got no answer."""
    while not stop.is_set():
        try:
            with socket.create_connection(("127.0.0.1", port), timeout=CONNECT_S) as client:
                client.sendall(b"?")
                lost.append(client.recv(1) != b"!")
        except OSError:
            lost.append(True)


def measure_newcomers(how: Change, rounds: int) -> Newcomers:
    """Over so many changes of the listener."""
    lost: list[bool] = []
    for _ in range(rounds):
        lost += _play_round(how)
    return Newcomers(sum(lost), len(lost))


def _play_round(how: Change) -> list[bool]:
    """For each connection that came, whether it was lost."""
    old = open_listener("127.0.0.1", 0, shared=True)
    port = old.getsockname()[1]
    new = old.dup() if how is Change.HANDED_OVER else open_listener("127.0.0.1", port, shared=True)
    old_listening, new_listening = Listening(old), Listening(new)
    lost: list[bool] = []
    stop = threading.Event()
    clients = [threading.Thread(target=_come_until, args=(port, stop, lost)) for _ in range(CLIENTS)]
    for client in clients:
        client.start()
    time.sleep(BOTH_S)
    _give_way(old, old_listening, how)
    time.sleep(NEW_S)
    stop.set()
    for client in clients:
        client.join()
    new_listening.stop()
    new.close()
    return lost


def _give_way(old: socket.socket, listening: Listening, how: Change) -> None:
    if how is Change.STEERED:
        redirect_new_connections(old)
        time.sleep(STEERED_S)
    listening.stop()
    if how is not Change.HANDED_OVER:
        listening.answer_queued()
    old.close()
