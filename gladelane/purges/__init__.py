"""Fleet-wide purges: what a purge covers, from which time on it applies, and how it reaches every director.

Operators send a purge to a purge log server (`PurgeLog`), which stores it, acknowledges it and sends it to
its subscribers: its peers and the directors (`PurgeSubscription`). For each request a director looks up how
old a copy may be.

Modules that do no I/O and read no clock: `scope` parses what a purge covers; `bounds` joins the limits that
purges set on the age of copies; `facet` and `index` look them up; `purge` defines the purge and its issuer's
sequence; `receipt` corrects for wrong clocks; `active_purges` and `snapshot` hold the state; `low_watermark`
and `loss_detection` determine which purges may be lost; `backfill`, `cutoff` and `orders` decide for
directors.

Modules that do I/O: `purge_store`, `subscription_store`, `checkpoint_file` and `log_compaction` on files;
`committer`, `peers`, `purge_stream`, `subscriber`, `backfill_sender`, `order_sender` and `control_part` on
sockets.
"""
