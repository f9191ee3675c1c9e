"""Builders of requests, endpoint views, settings and schedulers."""

import random

from ...settings import FleetSettings, PolicySettings, WorkspaceSettings
from ...states import EndpointKind, EndpointPhase, PromptBand
from ..fair import FairScheduler
from ..requests import RequestView
from ..views import EndpointView


def build_request(name, **overrides):
    fields = {
        'request_id': name,
        'workspace': 'w0',
        'service': 'chat',
        'band': PromptBand.SHORT,
        'prompt_tokens': 1000,
        'max_output_tokens': 100,
        'arrival': 0,
        'deadline': 30,
        'target_seconds': 2,
        'penalty': 1,
    }
    return RequestView(**(fields | overrides))


def build_huge(name, **overrides):
    fields = {
        'band': PromptBand.HUGE,
        'prompt_tokens': 200_000,
        'deadline': 600,
        'target_seconds': 180,
    }
    return build_request(name, **(fields | overrides))


def build_view(name='e0', **overrides):
    fields = {
        'endpoint': name,
        'service': 'chat',
        'zone': 'z1',
        'phase': EndpointPhase.LIVE,
        'free_tokens': 400_000,
        'capacity_tokens': 400_000,
        'service_rate': 20_000,
        'step_seconds': 0.05,
    }
    return EndpointView(**(fields | overrides))


def build_plain_view(name='p0', **overrides):
    fields = {
        'service': 'booking',
        'kind': EndpointKind.PLAIN,
        'free_tokens': 0,
        'capacity_tokens': 0,
        'service_rate': 0,
    }
    return build_view(name, **(fields | overrides))


def build_settings(weights=(1, 1), **policy):
    workspaces = {
        f'w{place}': WorkspaceSettings(workspace=f'w{place}', weight=weight)
        for place, weight in enumerate(weights)
    }
    endpoints = dict.fromkeys(f'e{place}' for place in range(8))
    return FleetSettings(
        version=1,
        name='test',
        workspaces=workspaces,
        endpoints=endpoints,
        policy=PolicySettings(**policy),
    )


def build_scheduler(endpoints=1, **settings):
    scheduler = FairScheduler.from_settings(
        build_settings(**settings),
        random.Random(1).random,
    )
    for place in range(endpoints):
        scheduler.update_endpoint(build_view(f'e{place}'), 0)
    return scheduler
