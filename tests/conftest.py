"""Shared pytest configuration."""

from hypothesis import settings

from bronzewall.logs import configure_logs

# The same examples on every run, so that CI gives one verdict.
settings.register_profile('ci', derandomize=True, deadline=None)
settings.load_profile('ci')

configure_logs(log_format='console', level='error')
