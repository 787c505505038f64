"""A handler for the hot restart channel that needs no director, for tests."""

from __future__ import annotations

import socket

from gladelane.hot_restart.channel import ChannelHandler, Offer
from gladelane.hot_restart.messages import Message


class RecordingHandler(ChannelHandler):
    """Records the messages that it receives, and offers a listening socket if it was given one."""

    def __init__(self, messages: list[Message] | None = None, listener: socket.socket | None = None) -> None:
        self._messages = messages if messages is not None else []
        self._listener = listener

    def on_message(self, message: Message) -> None:
        self._messages.append(message)

    def on_peers_changed(self) -> None:
        pass

    def hand_over(self) -> Offer | None:
        return Offer(self._listener) if self._listener is not None else None
