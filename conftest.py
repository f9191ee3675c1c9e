"""Settings of all tests: the same verdict each run, however slow the machine."""

from hypothesis import HealthCheck, settings

settings.register_profile(
    'repeatable',
    derandomize=True,
    deadline=None,
    suppress_health_check=(HealthCheck.too_slow, HealthCheck.data_too_large),
    database=None,
)
settings.load_profile('repeatable')
