"""A plain HTTP caller, as a client without the library would be written."""

import dataclasses

from mesh.http import request

STATUS_TICKET_NEEDED = 428


@dataclasses.dataclass
class Answer:
    status: int
    outcome: str
    reason: str
    ticket: str
    body: bytes


def call_once(address, service, operation, body, headers=None, timeout_s=10):
    status, fields, answer = request(
        "POST", address, f"/call/{service}/{operation}", body, headers, timeout_s)
    return Answer(status, fields.get("Boragepaddle-Outcome", ""),
                  fields.get("Boragepaddle-Reason", ""),
                  fields.get("Boragepaddle-Ticket", ""), answer)


def call(address, service, operation, body, headers=None, timeout_s=10):
    """Calls, and calls again with the ticket if one is needed."""
    answer = call_once(address, service, operation, body, headers, timeout_s)
    if answer.status != STATUS_TICKET_NEEDED:
        return answer
    fields = dict(headers or {})
    fields["Boragepaddle-Ticket"] = answer.ticket
    return call_once(address, service, operation, body, fields, timeout_s)
