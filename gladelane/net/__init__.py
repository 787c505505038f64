"""The director's network side: clients in front, caches upstream, the notice board beside them."""
