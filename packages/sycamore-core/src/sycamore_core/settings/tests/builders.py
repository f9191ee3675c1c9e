"""Builders of settings trees as plain values."""

import hashlib
import json
from typing import Any


def small_tree() -> dict[str, Any]:
    """Return a valid tree that a test may modify."""
    return {
        'version': 1,
        'name': 'test',
        'regions': {'coast': ['a', 'b']},
        'services': {'chat': {'model': 'm'}},
        'workspaces': {'school': workspace('school', 'chat')},
        'endpoints': {'chat-1': endpoint('chat', 1)},
    }


def workspace(key: str, *services: str) -> dict[str, Any]:
    """Return a workspace that may use the given services."""
    return {
        'api_key_hashes': [hashlib.sha256(key.encode()).hexdigest()],
        'services': {service: {} for service in services},
    }


def endpoint(service: str, number: int) -> dict[str, Any]:
    """Return an endpoint of a service, in zone a or b."""
    high, low = divmod(number, 250)
    return {
        'service': service,
        'zone': 'ba'[number % 2],
        'address': f'tcp://10.0.{high}.{low}:7000',
        'capacity_tokens': 500_000,
    }


def encoded(content: Any) -> bytes:
    """Return plain values as a published body, in JSON."""
    return json.dumps(content, separators=(',', ':')).encode()


def large_tree(workspaces: int, endpoints: int) -> dict[str, Any]:
    """Return a tree with six models; each workspace uses two of them."""
    services = [f'chat-{model}' for model in range(6)]
    content = small_tree()
    content['services'] = {name: {'model': name} for name in services}
    content['workspaces'] = {
        f'workspace-{number}': workspace(
            str(number),
            services[number % 6],
            services[-number % 5],
        )
        for number in range(workspaces)
    }
    content['endpoints'] = {
        f'endpoint-{number}': endpoint(services[number % 6], number)
        for number in range(endpoints)
    }
    return content
