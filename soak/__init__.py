"""Randomized soak test of the real programs with fault injection from outside.

``python -m soak run --seed 7`` starts the entry instances and a stand-in of the
platform as separate processes, connects them through proxies and injects a plan
of faults that depends only on the seed. The responses to callers and the runs on
workers are checked meanwhile; each violated invariant is reported with the time
at which it was first detected.
"""
