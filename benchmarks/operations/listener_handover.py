"""Counts connections that are refused or reset while one listener replaces another."""

from __future__ import annotations

import socket
import threading
import time
from contextlib import suppress
from enum import Enum
from typing import NamedTuple

from gladelane.net.listener import open_listener, redirect_new_connections

CLIENTS = 4
BOTH_LISTENING_S, REDIRECT_SETTLE_S, NEW_LISTENING_S = 0.05, 0.02, 0.02
ACCEPT_TIMEOUT_S, READ_TIMEOUT_S, CONNECT_TIMEOUT_S = 0.02, 0.5, 1.0


class Change(Enum):
    """How one listener replaces another. The values are names of the report."""

    HANDED_OVER = "handed_over"  # the new process gets the same socket
    REDIRECTED = "steered"  # the new process opens its own socket, and the old one gets no new connections
    PLAIN = "plain"  # the new process opens its own socket, and the old one is closed


class ConnectionCounts(NamedTuple):
    """The number of connections that were refused or reset, and of all that were attempted."""

    lost: int
    attempted: int


class ListenerThread:
    """A thread that answers new connections at a listener until it is stopped."""

    def __init__(self, listener: socket.socket) -> None:
        self._listener = listener
        self._stop = threading.Event()
        self._thread = threading.Thread(target=self._run)
        self._thread.start()

    def _run(self) -> None:
        self._listener.settimeout(ACCEPT_TIMEOUT_S)
        while not self._stop.is_set():
            with suppress(OSError):
                _answer(self._listener.accept()[0])

    def stop(self) -> None:
        """Stops the thread; the listener stays open and keeps its queue."""
        self._stop.set()
        self._thread.join()

    def answer_queued(self) -> None:
        """Answers the connections that wait in the queue of the listener."""
        self._listener.setblocking(False)
        with suppress(OSError):
            while True:
                _answer(self._listener.accept()[0])


def _answer(accepted: socket.socket) -> None:
    """Answers one byte with one byte."""
    with accepted, suppress(OSError):
        accepted.settimeout(READ_TIMEOUT_S)
        if accepted.recv(1):
            accepted.sendall(b"!")


def _connect_until(port: int, stop: threading.Event, lost: list[bool]) -> None:
    """Connects repeatedly, and records in `lost` for each connection whether it got no answer."""
    while not stop.is_set():
        try:
            with socket.create_connection(("127.0.0.1", port), timeout=CONNECT_TIMEOUT_S) as client:
                client.sendall(b"?")
                lost.append(client.recv(1) != b"!")
        except OSError:
            lost.append(True)


def measure_new_connections(change: Change, rounds: int) -> ConnectionCounts:
    """Counts connections over `rounds` changes of the listener."""
    lost: list[bool] = []
    for _ in range(rounds):
        lost += _run_round(change)
    return ConnectionCounts(sum(lost), len(lost))


def _run_round(change: Change) -> list[bool]:
    """Changes the listener once; returns for each attempted connection whether it was lost."""
    old = open_listener("127.0.0.1", 0, shared=True)
    port = old.getsockname()[1]
    new = old.dup() if change is Change.HANDED_OVER else open_listener("127.0.0.1", port, shared=True)
    old_thread, new_thread = ListenerThread(old), ListenerThread(new)
    lost: list[bool] = []
    stop = threading.Event()
    clients = [threading.Thread(target=_connect_until, args=(port, stop, lost)) for _ in range(CLIENTS)]
    for client in clients:
        client.start()
    time.sleep(BOTH_LISTENING_S)
    _retire_listener(old, old_thread, change)
    time.sleep(NEW_LISTENING_S)
    stop.set()
    for client in clients:
        client.join()
    new_thread.stop()
    new.close()
    return lost


def _retire_listener(old: socket.socket, thread: ListenerThread, change: Change) -> None:
    if change is Change.REDIRECTED:
        redirect_new_connections(old)
        time.sleep(REDIRECT_SETTLE_S)
    thread.stop()
    if change is not Change.HANDED_OVER:
        thread.answer_queued()
    old.close()
