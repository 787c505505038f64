"""Coming back: what is renewed how fast after copies became void, what a start keeps of what was learnt, and
when a director is in full service again. `renewal`, `phases`, `warm` and `reseed` decide and are pure;
`state_store` has the folder. Imported only where an operator's file asks for it."""
