"""The project's own fleet on loopback: laws, stand-ins, load, a judge of the four rules, experiments.

Nothing here is imported by `serve`; what it needs beyond the balancer stands in requirements-dev.txt.
"""
