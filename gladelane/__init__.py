"""gladelane: where objects are served, kept and filled from."""

from .routing.events import Settings
from .routing.router import Router

__all__ = ["Router", "Settings"]
