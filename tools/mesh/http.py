"""JSON over HTTP client for the programs of a mesh."""

import http.client
import json

TIMEOUT_S = 10


def request(method, address, path, body=None, headers=None, timeout_s=TIMEOUT_S):
    """Returns (status, headers, body bytes); raises OSError if the connection fails."""
    connection = http.client.HTTPConnection(address, timeout=timeout_s)
    try:
        connection.request(method, path, body=body, headers=headers or {})
        response = connection.getresponse()
        return response.status, dict(response.getheaders()), response.read()
    finally:
        connection.close()


def get_status(address, path):
    """HTTP status, or 0 if there is no response."""
    try:
        return request("GET", address, path)[0]
    except (OSError, http.client.HTTPException):
        return 0


def _json_request(method, address, path, value, timeout_s):
    body = None if value is None else json.dumps(value)
    status, _, answer = request(method, address, path, body, timeout_s=timeout_s)
    if status != 200:
        raise RuntimeError(f"{method} {address}{path}: {status} {answer[:200]!r}")
    return json.loads(answer or b"null")


def get_json(address, path, timeout_s=TIMEOUT_S):
    return _json_request("GET", address, path, None, timeout_s)


def post_json(address, path, value, timeout_s=TIMEOUT_S):
    return _json_request("POST", address, path, value, timeout_s)


def put_json(address, path, value, timeout_s=TIMEOUT_S):
    return _json_request("PUT", address, path, value, timeout_s)
