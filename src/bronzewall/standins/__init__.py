"""Stand-ins for the platform, upstreams and callers, and in-memory fakes."""
