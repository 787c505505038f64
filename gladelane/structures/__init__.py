"""Data structures made for the job. No I/O, no clock, no knowledge of the product."""
