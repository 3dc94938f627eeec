"""Randomized soak of the real programs under faults that are injected from outside.

``python -m soak run --seed 7`` starts the entry instances and a stand-in of the
platform as separate processes, puts proxies between them, and plays a plan of
faults that only the seed decides. Callers and workers are watched meanwhile;
every broken promise is reported with the time of its first sight.
"""
