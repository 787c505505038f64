"""gladelane: where objects are served, kept and filled from."""

from .choice import Router
from .interface import Settings

__all__ = ["Router", "Settings"]
