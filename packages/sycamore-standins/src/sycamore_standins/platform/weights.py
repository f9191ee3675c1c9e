"""How fast the weight store lets an engine load."""

import msgspec


class WeightRate(msgspec.Struct):
    """Rate of the weight store and size of one load, in bytes."""

    bytes_per_second: int = 4_000_000_000
    load_bytes: int = 40_000_000
