"""Coming back: what a start keeps of what was learnt, and when a director is in full service again. `phases`
and `warm` decide and are pure; `state_store` has the folder; `purge_source` names what is asked of the
fleet's purges. Imported only where an operator's file asks for it. The budget of renewals is
`routes.renewal`."""
