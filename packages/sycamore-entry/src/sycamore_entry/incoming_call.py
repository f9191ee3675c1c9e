"""Conversion of a checked call into a request that can be offered."""

import msgspec
from sycamore_core.decisions import RequestView
from sycamore_core.identity import RequestClaims, home_endpoint
from sycamore_core.ids import EndpointId, Incarnation, RequestId, ServiceId
from sycamore_core.messages import PlainCall
from sycamore_core.settings import (
    FleetSettings,
    ServiceSettings,
    WorkspaceSettings,
)
from sycamore_core.states import EndpointKind, PromptBand, RefusalReason

from .errors import RefusedError
from .exchanges import CallerRequest
from .web.limits import CallTerms
from .web.prompts import Prompt


class CheckedCall(msgspec.Struct, frozen=True, kw_only=True):
    """A call whose target and headers are checked, before its body is read.

    Attributes
    ----------
    arrival
        Monotonic time of the arrival, in seconds.
    claims
        Claims of a reserved id, if the caller used one.
    """

    fleet: FleetSettings
    workspace: WorkspaceSettings
    service_id: ServiceId
    terms: CallTerms
    arrival: float
    claims: RequestClaims | None = None

    @property
    def service(self) -> ServiceSettings:
        """The settings in force for the service."""
        return self.workspace.services[self.service_id]

    @property
    def bound_incarnation(self) -> Incarnation:
        """Incarnation to which the id is bound, or 0."""
        return (
            Incarnation(0) if self.claims is None else self.claims.incarnation
        )


def make_model_request(
    checked_call: CheckedCall,
    request_id: RequestId,
    prompt: Prompt,
) -> CallerRequest:
    """Return a request for a model.

    Raises
    ------
    RefusedError
        If the prompt is larger than the service allows, or the service is a
        plain service.
    """
    service = checked_call.service
    if service.kind != EndpointKind.MODEL:
        raise RefusedError(
            RefusalReason.BAD_REQUEST,
            'this is a plain service; use its path "call"',
        )
    if prompt.tokens > service.max_prompt_tokens:
        raise RefusedError(
            RefusalReason.PROMPT_TOO_LONG,
            f'the prompt has more than {service.max_prompt_tokens} tokens',
        )
    return _make_request(checked_call, request_id, prompt, None)


def make_plain_request(
    checked_call: CheckedCall,
    request_id: RequestId,
    call: PlainCall,
    body: bytes,
) -> CallerRequest:
    """Return a call to a plain service.

    Raises
    ------
    RefusedError
        If the service is a model.
    """
    if checked_call.service.kind != EndpointKind.PLAIN:
        raise RefusedError(
            RefusalReason.BAD_REQUEST,
            'this is a model; use its path "requests"',
        )
    return _make_request(checked_call, request_id, Prompt(body, 0, 0, ()), call)


def _make_request(
    checked_call: CheckedCall,
    request_id: RequestId,
    prompt: Prompt,
    call: PlainCall | None,
) -> CallerRequest:
    view = _make_view(checked_call, request_id, prompt)
    return CallerRequest(
        view=view,
        payload=prompt.payload,
        plain_call=call,
        idempotency_key=checked_call.terms.idempotency_key,
        bound_incarnation=checked_call.bound_incarnation,
        settings_version=checked_call.fleet.version,
        target=checked_call.service.target_for(view.band),
    )


def _make_view(
    checked_call: CheckedCall,
    request_id: RequestId,
    prompt: Prompt,
) -> RequestView:
    service = checked_call.service
    band = checked_call.fleet.policy.bands.band_of(prompt.tokens)
    target = service.target_for(band)
    return RequestView(
        request_id=request_id,
        workspace=checked_call.workspace.workspace,
        service=checked_call.service_id,
        kind=service.kind,
        band=PromptBand(band),
        prompt_tokens=prompt.tokens,
        max_output_tokens=_output_tokens(service, prompt),
        arrival=checked_call.arrival,
        deadline=checked_call.arrival + checked_call.terms.time_limit,
        idempotent=checked_call.terms.idempotent,
        target_seconds=0 if target is None else target.first_token_seconds,
        penalty=0 if target is None else target.penalty,
        weight=checked_call.workspace.weight,
        prefix_blocks=prompt.blocks,
        pinned_to=_pinned_to(checked_call),
    )


def _output_tokens(service: ServiceSettings, prompt: Prompt) -> int:
    if service.kind == EndpointKind.PLAIN:
        return 0
    requested = prompt.max_output_tokens or service.max_output_tokens
    return min(requested, service.max_output_tokens)


def _pinned_to(checked_call: CheckedCall) -> EndpointId | None:
    if checked_call.claims is not None:
        return EndpointId(checked_call.claims.minter)
    if checked_call.terms.idempotency_key:
        return home_endpoint(
            checked_call.fleet,
            checked_call.workspace.workspace,
            checked_call.service_id,
            checked_call.terms.idempotency_key,
        )
    return None
