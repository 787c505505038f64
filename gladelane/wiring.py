"""Makes the parts that only an operator's file switches on. Imported, with what they need, for them alone."""

from __future__ import annotations

import logging
import random
from typing import TYPE_CHECKING

from .net.config import BadConfig, Config
from .net.director import Director
from .net.wheel import Clock

if TYPE_CHECKING:
    from .ownership.options import Options as OwnerOptions
    from .ownership.owner import Owner
    from .purges.holder import Holder
    from .purges.options import Options as HolderOptions

log = logging.getLogger("gladelane")


def open_purges(options: HolderOptions, director: Director, clock: Clock) -> Holder:
    """Follows the fleet's purges. Raises BadConfig for what the files say, and OSError."""
    from pathlib import Path

    from .control.tokens import BadTokens
    from .durable.files import Folder, set_aside
    from .durable.log import Damaged
    from .purges.holder import Holder

    unknown = sorted(options.strict - director.settings.classes.keys())
    if unknown:
        raise BadConfig(f"purges.strict: {unknown[0]!r}; expected classes of the settings")

    def opened() -> Holder:
        disk = Folder(options.folder) if options.folder else None
        try:
            return Holder(
                options, director.router.purges, clock.now, disk, director.settings.proxies, random.Random()
            )
        except BaseException:
            if disk is not None:
                disk.close()
            raise

    try:
        return opened()
    except BadTokens as error:
        raise BadConfig(str(error)) from None
    except Damaged as error:
        # what it held is asked of the feeds again: a director that does not start would help nobody
        aside = set_aside(Path(options.folder))
        log.error("purges: folder set aside as %s: %s", aside, error)
        return opened()


def open_owner(options: OwnerOptions, purges: Holder, config: Config) -> Owner:
    """Orders to servers go out by shards, each from the one director that has it."""
    from .fleet.steady import steady_ms
    from .ownership.owner import Owner
    from .ownership.shards import Sharded, works

    settings = config.settings
    owner = Owner(
        works(options.shards, settings.me, settings.proxies),
        config.name,
        list(purges.options.feeds),
        options.length_ms,
        purges.own_token,
        steady_ms,
        random.Random(),
    )
    sharded = Sharded(
        purges.orders, options.shards, owner.holds, owner.alone, purges.standing.positions.vector
    )
    owner.progress, owner.resume, purges.orders.owned = sharded.progress, sharded.resume, sharded.owned
    return owner
