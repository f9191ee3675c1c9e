"""Builders for tests of the web layer: an application without a fleet."""

import hashlib

from sycamore_core.identity import RequestIdSigner
from sycamore_core.ids import KeyId, RequestId
from sycamore_core.messages import PeerKeys
from sycamore_core.settings import FleetSettings, resolve_tree
from tornado.web import Application

from ...exchanges.tests.builders import make_context
from ...reservations import Reservations
from .. import WebContext, make_application

KEYS = PeerKeys({KeyId('k'): b'k' * 16}, KeyId('k'))
API_KEY = 'key-of-the-school'
HASH = hashlib.sha256(API_KEY.encode()).hexdigest()
TREE = """{
  version: 1, name: 'test',
  regions: {coast: ['a']},
  services: {
    chat: {kind: 'model', max_prompt_tokens: 100, max_body_bytes: 2000},
    booking: {kind: 'plain'},
  },
  workspaces: {
    school: {api_key_hashes: ['HASH'], services: {chat: {}, booking: {}}},
    rival: {api_key_hashes: ['OTHER'], services: {chat: {}}},
  },
}"""


def make_fleet() -> FleetSettings:
    tree = TREE.replace('HASH', HASH).replace('OTHER', 'f' * 64)
    return resolve_tree(tree.encode())


def make_web_context(fleet: FleetSettings | None) -> WebContext:
    return WebContext(
        entry=make_context(),
        signer=RequestIdSigner(KEYS),
        reservations=Reservations(),
        current_fleet=lambda: fleet,
        new_request_id=lambda *parts: RequestId('k~new'),
    )


def make_app(context: WebContext) -> Application:
    return make_application(context)
