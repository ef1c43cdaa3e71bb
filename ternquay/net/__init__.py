"""The balancer on sockets: connections, protocols, timers and the process. ternquay/balance.py makes the decisions."""
