"""HTTP reverse proxy fleet for upstreams with gray failures."""
