"""Client for peridotchute's administration API, version 1.

A single file that needs only the standard library of Python 3.9 or later. Example:

    import peridotchute

    client = peridotchute.Client("https://10.0.0.5:8443", key_file="operator.key")
    declaration = peridotchute.Declaration()
    declaration.region("east", zones=["e1", "e2"], store=True)
    declaration.pool("gpu", memory_bytes=80 << 30, servers=18)
    declaration.model("fly", version="3", pool="gpu", memory_bytes=16 << 30)
    declaration.team("shops", key_hashes=[peridotchute.key_hash("...")])
    plan = client.plan(declaration)
    peridotchute.print_plan(plan)
    if input("accept? ") == "yes":
        client.accept(plan["digest"])

Only accept changes the deployment; it takes the digest of a plan.
"""

import hashlib
import http.client
import json
import ssl
import sys
import time
import urllib.error
import urllib.parse
import urllib.request

PREFIX = "/admin/v1"
MIN_KEY_LENGTH = 16
ACCEPT_ATTEMPTS = 6
FOLLOW_INTERVAL = 0.25  # seconds between status polls


class Error(Exception):
    """A request that did not succeed.

    status is the HTTP status, or None if no response was received. code is the
    API's error code. problems and difference are lists as described in docs/API.md.
    """

    def __init__(self, message, status=None, code="unknown", problems=None, difference=None):
        super().__init__(message)
        self.status = status
        self.code = code
        self.problems = problems or []
        self.difference = difference or []


class Refused(Error):
    """The key is missing or unknown, or lacks the required role."""


class Invalid(Error):
    """The declaration or the request is invalid; see problems."""


class NotFound(Error):
    """The requested object does not exist."""


class Conflict(Error):
    """Another change was accepted first; see difference. Plan again."""


class Unavailable(Error):
    """Nothing was changed; try again later."""


class Unknown(Error):
    """The change may have been made; repeat the same call."""


_BY_STATUS = {
    400: Invalid, 401: Refused, 403: Refused, 404: NotFound, 409: Conflict, 413: Invalid,
    422: Invalid, 502: Unknown, 503: Unavailable, 504: Unknown,
}


def key_hash(key):
    """Returns the SHA-256 of a caller's key in hex, the form used in declarations."""
    return hashlib.sha256(key.encode()).hexdigest()


class Declaration:
    """Builds a configuration to be planned.

    Fields without a parameter of their own are passed as keyword arguments under
    their names in docs/API.md.
    """

    def __init__(self, base=None):
        """Starts empty or from a configuration, such as the result of Client.configuration()."""
        empty = {"regions": [], "pools": [], "models": [], "teams": [], "policy": {}}
        self.body = json.loads(json.dumps(base)) if base else empty
        self.body.pop("change_id", None)

    def _put(self, section, name, fields):
        items = self.body.setdefault(section, [])
        items[:] = [item for item in items if item["name"] != name]
        items.append(dict(fields, name=name))

    def remove(self, section, name):
        """Removes an item, for example section "models", name "fly".

        Raises KeyError if the item does not exist.
        """
        items = self.body.get(section) or []
        if all(item["name"] != name for item in items):
            raise KeyError(f"{section} has no {name!r}")
        items[:] = [item for item in items if item["name"] != name]

    def region(self, name, zones, **fields):
        """Declares a region with its availability zones."""
        self._put("regions", name, dict(fields, zones=list(zones)))

    def pool(self, name, **fields):
        """Declares a pool of identical backend servers."""
        self._put("pools", name, fields)

    def model(self, name, version, pool, memory_bytes, **fields):
        """Declares a model and replaces an earlier declaration with the same name."""
        target = fields.pop("target", {})
        self._put("models", name, dict(fields, version=version, pool=pool, memory_bytes=memory_bytes, target=target))

    def adapter(self, name, version, model, memory_bytes, **fields):
        """Declares an adapter of a model."""
        self._put("adapters", name, dict(fields, version=version, model=model, memory_bytes=memory_bytes))

    def service(self, name, pool, **fields):
        """Declares a plain service; actions lists its non-idempotent calls."""
        self._put("services", name, dict(fields, pool=pool))

    def team(self, name, key_hashes, **fields):
        """Declares a team of callers with the hashes of its keys (see key_hash)."""
        self._put("teams", name, dict(fields, key_hashes=list(key_hashes)))

    def policy(self, **fields):
        """Sets fields of the policy."""
        self.body["policy"].update(fields)


class _NoRedirect(urllib.request.HTTPRedirectHandler):
    """Disables redirects, so that the key is not sent to another server."""

    def redirect_request(self, *args, **kwargs):
        return None


class Client:
    """Calls the administration API of an entry, directly or through a load balancer."""

    def __init__(self, url, key_file, ca_file=None, timeout=15.0):
        with open(key_file, encoding="utf-8") as file:
            self._key = file.readline().strip()
        if len(self._key) < MIN_KEY_LENGTH:
            raise ValueError(f"the key in {key_file} has fewer than {MIN_KEY_LENGTH} characters")
        self._base = url.rstrip("/") + PREFIX
        self._timeout = timeout
        handlers = [_NoRedirect(), urllib.request.ProxyHandler({})]
        if url.startswith("https:"):
            handlers.append(urllib.request.HTTPSHandler(context=ssl.create_default_context(cafile=ca_file)))
        self._opener = urllib.request.build_opener(*handlers)

    def validate(self, declaration):
        """Checks a declaration; raises Invalid with all problems."""
        self._send("POST", "/validate", _declaration_text(declaration))

    def plan(self, declaration):
        """Returns the effects of accepting a declaration without changing anything.

        declaration is a Declaration, a dict, or JSON text with comments.
        """
        return self._send("POST", "/plan", _declaration_text(declaration))

    def revert(self, version):
        """Returns a plan for a new version with the contents of an earlier one."""
        return self._send("POST", "/revert", json.dumps({"version": version}))

    def accept(self, digest):
        """Activates the plan with this digest.

        Accepting is idempotent, so the call is retried while its outcome is
        unknown.
        """
        uncertain = None  # an earlier attempt may have taken effect
        for attempt in range(ACCEPT_ATTEMPTS):
            try:
                return self._send("POST", "/accept", json.dumps({"digest": digest}))
            except Unknown as err:
                uncertain = err
            except Unavailable:
                if uncertain is None:
                    raise
            time.sleep(min(0.25 * 2**attempt, 4.0))
        raise uncertain

    def configuration(self):
        """Returns the configuration active at the responding entry."""
        return self._send("GET", "/configuration")

    def status(self):
        """Returns the state of the deployment as seen by the responding entry."""
        return self._send("GET", "/status")

    def history(self, limit=20):
        """Returns accepted versions, newest first."""
        return self._send("GET", f"/history?limit={int(limit)}")["versions"]

    def audit(self, after=""):
        """Returns the audit records after the one with the given id, oldest first.

        With an empty id it returns those of the last 24 hours.
        """
        return self._send("GET", "/audit" + _query("after", after))["records"]

    def unresolved(self, after=""):
        """Returns one page of the actions whose outcome is unknown."""
        return self._send("GET", "/unresolved" + _query("after", after))["actions"]

    def settle(self, team, key, ran, note):
        """Records whether an unresolved action took effect.

        note describes how this was determined and is required.
        """
        return self._send("POST", "/unresolved/settle", json.dumps({"team": team, "key": key, "ran": ran, "note": note}))

    def drain(self, server):
        """Asks a backend server to stop accepting new work."""
        return self._send("POST", "/drain", json.dumps({"server": server}))

    def dump(self):
        """Returns the internal state of the responding entry."""
        return self._send("GET", "/dump")

    def follow(self, version, timeout=30.0):
        """Waits until every process has the version or a newer one.

        Returns the names of the processes that do not have it after timeout seconds.
        """
        end = time.monotonic() + timeout
        while True:
            members = [m for m in self.status()["members"] if m["state"] != "gone"]
            behind = [m["name"] for m in members if m["config_version"] < version]
            if (members and not behind) or time.monotonic() >= end:
                return behind
            time.sleep(FOLLOW_INTERVAL)

    def _send(self, method, path, body=None):
        request = urllib.request.Request(self._base + path, method=method)
        request.add_header("Authorization", "Bearer " + self._key)
        if body is not None:
            request.data = body.encode()
            request.add_header("Content-Type", "application/json")
        try:
            with self._opener.open(request, timeout=self._timeout) as response:
                return json.loads(response.read())
        except urllib.error.HTTPError as err:
            raise _error_from_response(err.code, err.read()) from None
        except (OSError, ValueError, http.client.HTTPException) as err:
            kind = Unavailable if _never_connected(err) else Unknown
            raise kind(f"no response from {self._base}: {err}") from None


def _never_connected(err):
    """Reports whether the connection failed before anything was sent."""
    reason = getattr(err, "reason", err)
    return isinstance(reason, (ConnectionRefusedError, ssl.SSLCertVerificationError))


def _query(name, value):
    return "?" + urllib.parse.urlencode({name: value}) if value else ""


def _declaration_text(declaration):
    if isinstance(declaration, Declaration):
        declaration = declaration.body
    return declaration if isinstance(declaration, str) else json.dumps(declaration)


def _error_from_response(status, raw):
    try:
        body = json.loads(raw)
        detail = body["error"]
    except (ValueError, KeyError, TypeError):
        body, detail = {}, {"message": f"status {status}", "code": "unknown"}
    return _BY_STATUS.get(status, Error)(
        detail["message"], status, detail["code"], body.get("problems"), body.get("difference"))


def print_plan(plan, file=None):
    """Prints the complete configuration, difference, moves, memory, warnings and digest."""
    file = file or sys.stdout
    effects = plan["effects"]
    print("CONFIGURATION (version %d)" % plan["configuration"]["version"], file=file)
    print(json.dumps(plan["configuration"], indent=2), file=file)
    print("\nDIFFERENCE to version %d" % plan["base_version"], file=file)
    for change in plan["difference"] or []:
        print(_change_text(change), file=file)
    print("\nMOVES", file=file)
    for move in effects["moves"]:
        verb = "unload" if move.get("unload") else "load"
        artifact = "{kind}/{name}@{version}".format(**move["artifact"])
        print(f"{verb} {artifact} on {move['servers']} servers of pool {move['pool']}, {move['bytes']} bytes each", file=file)
    print("\nMEMORY (bytes)", file=file)
    for pool in effects["memory"]:
        print("{pool}: capacity {capacity}, before {before}, during {during}, after {after}".format(**pool), file=file)
    print("\nWARNINGS", file=file)
    for warning in effects["warnings"]:
        print("!", warning, file=file)
    print("\nDIGEST", plan["digest"], file=file)


def _change_text(change):
    item = (change["section"] + " " + change.get("name", "")).strip()
    if change["kind"] == "changed":
        return "~ {}: {}: {} -> {}".format(item, change["field"], change["from"], change["to"])
    return ("+ " if change["kind"] == "added" else "- ") + item
