"""Fencing, which rejects operations whose token is lower than the highest token seen so far.

A holder that was paused past the end of its lease may still send an operation that it started before. The
executor of operations rejects it by the check below (M. Kleppmann, "How to do distributed locking", 2016; the
sequencers of M. Burrows, "The Chubby lock service", OSDI 2006). Pure.
"""

from __future__ import annotations

from collections.abc import Mapping


class FencingGuard:
    """Remembers the highest fencing token for each resource and rejects lower ones.

    The caller stores a token for which `is_new_token` is true before it executes the operation, and passes
    the stored tokens to the constructor after a restart. An operation that a holder started under an earlier
    lease of its own is rejected like one of any other holder.
    """

    def __init__(self, tokens: Mapping[str, int] | None = None) -> None:
        """Starts from the stored tokens, by resource."""
        self.tokens = dict(tokens or {})
        self.rejected_count = 0

    def admit_token(self, resource: str, fencing_token: int) -> bool:
        """Returns whether an operation may be executed, and remembers its token if so."""
        if fencing_token < self.tokens.get(resource, 0):
            self.rejected_count += 1
            return False
        self.tokens[resource] = fencing_token
        return True

    def is_new_token(self, resource: str, fencing_token: int) -> bool:
        """Returns whether a token is higher than any seen for the resource."""
        return fencing_token > self.tokens.get(resource, 0)
