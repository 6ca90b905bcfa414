"""Lets only signed requests through to an agent."""

from dataclasses import dataclass

import falcon
import msgspec
from prometheus_client import Counter

from azurefold.internal.identity import Identity
from azurefold.internal.request_reader import BodyRefusedError
from azurefold.wire.attempts import RefusedBody
from azurefold.wire.http_auth import HEADER
from azurefold.wire.seal import Rejected

__all__ = ["RequireSignature"]

_MAX_BODY_BYTES = 64 * 1024 * 1024


@dataclass(slots=True)
class RequireSignature:
    """Falcon middleware that reads the body and checks the signature.

    Without it, anybody who can reach the agent's port could run requests at
    the endpoint or settle others' attempts as not run.

    Parameters
    ----------
    identity : Identity
    rejected : Counter
        Labelled by ``reason``.
    """

    identity: Identity
    rejected: Counter

    def process_request(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Refuse a request without a valid signature."""
        if (req.content_length or 0) > _MAX_BODY_BYTES:
            raise falcon.HTTPContentTooLarge()
        try:
            req.context.body = req.bounded_stream.read()
        except BodyRefusedError as error:
            raise falcon.HTTPError(int(error.status)) from error
        checked = self.identity.check(
            req.get_header(HEADER), req.method, req.relative_uri, req.context.body
        )
        if isinstance(checked, Rejected):
            self.rejected.labels(reason=str(checked.reason)).inc()
            resp.status = falcon.HTTP_401
            resp.data = msgspec.json.encode(RefusedBody(f"auth_{checked.reason}"))
            resp.complete = True
