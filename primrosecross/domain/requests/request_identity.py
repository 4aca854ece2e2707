"""Identity and fingerprint of a request, to detect duplicates."""

import dataclasses
import functools
from collections.abc import Sized

import xxhash

from primrosecross.domain.requests import body as body_module
from primrosecross.domain.requests import request


@dataclasses.dataclass(frozen=True, slots=True)
class RequestIdentity:
    """Fields that all attempts of one request share."""

    service: str
    key: str
    request_id: str


def identity_of(req: request.Request) -> RequestIdentity:
    """Returns the identity of a request."""
    return RequestIdentity(req.service, req.key, req.request_id)


def fingerprint(req: request.Request) -> str:
    """Returns a digest of a request's content.

    Requests with the same service, key, method, path and body have the same
    digest, whoever sent them. Only the length of a long body is included, as
    other daemons get it as a stream.
    """
    digest = xxhash.xxh3_128()
    for field in (req.service, req.key, req.method, req.path):
        encoded = field.encode()
        digest.update(len(encoded).to_bytes(4, "big"))
        digest.update(encoded)
    digest.update(_body_bytes(req.body))
    return digest.hexdigest()


@functools.singledispatch
def _body_bytes(body: Sized) -> bytes:
    return len(body).to_bytes(8, "big")


@_body_bytes.register
def _(body: bytes) -> bytes:
    if len(body) > body_module.MAX_FRAMED_BYTES:
        return len(body).to_bytes(8, "big")
    return body
