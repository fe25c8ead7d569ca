"""Plain HTTP caller that does not use the client library."""

import dataclasses

from mesh.http import request

STATUS_TICKET_REQUIRED = 428


@dataclasses.dataclass
class Response:
    status: int
    outcome: str
    reason: str
    ticket: str
    body: bytes


def call_once(address, service, operation, body, headers=None, timeout_s=10):
    status, fields, answer = request(
        "POST", address, f"/call/{service}/{operation}", body, headers, timeout_s)
    return Response(status, fields.get("Boragepaddle-Outcome", ""),
                  fields.get("Boragepaddle-Reason", ""),
                  fields.get("Boragepaddle-Ticket", ""), answer)


def call(address, service, operation, body, headers=None, timeout_s=10):
    """Calls, and resends with the issued ticket if the operation requires one."""
    answer = call_once(address, service, operation, body, headers, timeout_s)
    if answer.status != STATUS_TICKET_REQUIRED:
        return answer
    fields = dict(headers or {})
    fields["Boragepaddle-Ticket"] = answer.ticket
    return call_once(address, service, operation, body, fields, timeout_s)
