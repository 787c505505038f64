"""Fleet-wide purges: what a purge covers, from which moment it binds a request, and how it reaches every
director.

Operators send a purge to a purge log server (`PurgeLog`), which stores it, acknowledges it and sends it to
its subscribers: its peers and the directors (`PurgeSubscription`). For a request a director asks how old a
copy may be.

Pure modules: `scope` parses what a purge covers, `bounds` joins moments, `facet` and `index` look them up,
`purge` has the purge and its issuer's sequence, `receipt` has what follows from wrong clocks, `active_purges`
and `snapshot` hold the state, `low_watermark` and `loss_detection` say what may have been lost, `backfill`,
`cutoff` and `orders` decide for directors. None of these does I/O or reads a clock.

I/O: `purge_store`, `subscription_store`, `checkpoint_file` and `log_compaction` for files; `committer`,
`peers`, `purge_stream`, `subscriber`, `backfill_sender`, `order_sender` and `control_part` for sockets.
"""
