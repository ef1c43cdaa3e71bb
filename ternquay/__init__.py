"""ternquay: a proxy that spreads keys over cache servers before a slow origin."""
