"""gladelane: decides which servers answer requests for objects, which cache them, and what fills caches."""

from .routing.events import Settings
from .routing.router import Router

__all__ = ["Router", "Settings"]
