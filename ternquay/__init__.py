"""ternquay: a proxy that spreads keys over cache servers in front of a slow origin."""

VERSION = "0.2.0"
