"""Client of peridotchute's administration API, version 1.

One file on Python's standard library alone (Python 3.9 or later):

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

Nothing changes before accept, and accept takes the digest of a plan.
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
FOLLOW_INTERVAL = 0.25  # seconds between two looks at the status


class Error(Exception):
    """A request that did not succeed.

    status is the HTTP status, or None when no answer came. code is the API's
    code. problems and difference are lists as described in docs/API.md.
    """

    def __init__(self, message, status=None, code="unknown", problems=None, difference=None):
        super().__init__(message)
        self.status = status
        self.code = code
        self.problems = problems or []
        self.difference = difference or []


class Refused(Error):
    """No key, an unknown key, or a key without the role."""


class Invalid(Error):
    """The declaration or the request is wrong; see problems."""


class NotFound(Error):
    """What was named does not exist."""


class Conflict(Error):
    """Another change was accepted first; see difference. Plan again."""


class Unavailable(Error):
    """Nothing was changed; try again later."""


class Unknown(Error):
    """It may have been changed; repeat the same call."""


_BY_STATUS = {
    400: Invalid, 401: Refused, 403: Refused, 404: NotFound, 409: Conflict, 413: Invalid,
    422: Invalid, 502: Unknown, 503: Unavailable, 504: Unknown,
}


def key_hash(key):
    """Returns the form in which a caller's key is declared."""
    return hashlib.sha256(key.encode()).hexdigest()


class Declaration:
    """Builds the configuration to be planned.

    Fields that the methods do not name are passed by keyword under the names
    of docs/API.md.
    """

    def __init__(self, base=None):
        """Starts empty, or from a configuration such as Client.configuration()."""
        empty = {"regions": [], "pools": [], "models": [], "teams": [], "policy": {}}
        self.body = json.loads(json.dumps(base)) if base else empty
        self.body.pop("change_id", None)

    def _set(self, section, name, fields):
        items = self.body.setdefault(section, [])
        items[:] = [item for item in items if item["name"] != name]
        items.append(dict(fields, name=name))

    def remove(self, section, name):
        """Removes an item, such as ("models", "fly")."""
        items = self.body.get(section) or []
        if all(item["name"] != name for item in items):
            raise KeyError(f"{section} has no {name!r}")
        items[:] = [item for item in items if item["name"] != name]

    def region(self, name, zones, **fields):
        """Declares a region with its availability zones."""
        self._set("regions", name, dict(fields, zones=list(zones)))

    def pool(self, name, **fields):
        """Declares a pool of like backend servers."""
        self._set("pools", name, fields)

    def model(self, name, version, pool, memory_bytes, **fields):
        """Declares a model; a further declaration of the name replaces it."""
        target = fields.pop("target", {})
        self._set("models", name, dict(fields, version=version, pool=pool, memory_bytes=memory_bytes, target=target))

    def adapter(self, name, version, model, memory_bytes, **fields):
        """Declares an adapter of a model."""
        self._set("adapters", name, dict(fields, version=version, model=model, memory_bytes=memory_bytes))

    def service(self, name, pool, **fields):
        """Declares a plain service; actions lists its non-idempotent calls."""
        self._set("services", name, dict(fields, pool=pool))

    def team(self, name, key_hashes, **fields):
        """Declares a team of callers with the hashes of its keys."""
        self._set("teams", name, dict(fields, key_hashes=list(key_hashes)))

    def policy(self, **fields):
        """Sets fields of the policy."""
        self.body["policy"].update(fields)


class _NoRedirect(urllib.request.HTTPRedirectHandler):
    """Refuses redirects, which would carry the key elsewhere."""

    def redirect_request(self, *args, **kwargs):
        return None


class Client:
    """Calls the administration API of one entry, or of the balancer before several."""

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
        """Checks a declaration; raises Invalid with every problem."""
        self._send("POST", "/validate", _text(declaration))

    def plan(self, declaration):
        """Returns what accepting a declaration would cause; changes nothing.

        declaration is a Declaration, a dict, or JSON text with comments.
        """
        return self._send("POST", "/plan", _text(declaration))

    def revert(self, version):
        """Returns a plan that brings back an earlier version as a new one."""
        return self._send("POST", "/revert", json.dumps({"version": version}))

    def accept(self, digest):
        """Puts the plan with this digest in force.

        Accepting a digest again has no further effect, so the call is repeated
        while its outcome is not known.
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
        """Returns the configuration in force at the answering entry."""
        return self._send("GET", "/configuration")

    def status(self):
        """Returns the deployment as the answering entry sees it."""
        return self._send("GET", "/status")

    def history(self, limit=20):
        """Returns accepted versions, newest first."""
        return self._send("GET", f"/history?limit={int(limit)}")["versions"]

    def audit(self, after=""):
        """Returns what operators did, oldest first, after a record's id."""
        return self._send("GET", "/audit" + _query("after", after))["records"]

    def unresolved(self, after=""):
        """Returns actions whose outcome the system cannot know, one page."""
        return self._send("GET", "/unresolved" + _query("after", after))["actions"]

    def settle(self, team, key, ran, note):
        """Records whether an unresolved action took effect, and how you know."""
        return self._send("POST", "/unresolved/settle", json.dumps({"team": team, "key": key, "ran": ran, "note": note}))

    def drain(self, server):
        """Asks a backend server to take no new work."""
        return self._send("POST", "/drain", json.dumps({"server": server}))

    def dump(self):
        """Returns the state of the answering entry."""
        return self._send("GET", "/dump")

    def follow(self, version, timeout=30.0):
        """Waits until every process has a version; returns those that have not."""
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
            with self._opener.open(request, timeout=self._timeout) as answer:
                return json.loads(answer.read())
        except urllib.error.HTTPError as err:
            raise _error(err.code, err.read()) from None
        except (OSError, ValueError, http.client.HTTPException) as err:
            kind = Unavailable if _never_connected(err) else Unknown
            raise kind(f"no answer from {self._base}: {err}") from None


def _never_connected(err):
    """Reports whether nothing can have been sent."""
    reason = getattr(err, "reason", err)
    return isinstance(reason, (ConnectionRefusedError, ssl.SSLCertVerificationError))


def _query(name, value):
    return "?" + urllib.parse.urlencode({name: value}) if value else ""


def _text(declaration):
    if isinstance(declaration, Declaration):
        declaration = declaration.body
    return declaration if isinstance(declaration, str) else json.dumps(declaration)


def _error(status, raw):
    try:
        body = json.loads(raw)
        detail = body["error"]
    except (ValueError, KeyError, TypeError):
        body, detail = {}, {"message": f"status {status}", "code": "unknown"}
    return _BY_STATUS.get(status, Error)(
        detail["message"], status, detail["code"], body.get("problems"), body.get("difference"))


def print_plan(plan, file=None):
    """Prints the whole configuration, the difference, moves, memory and warnings."""
    file = file or sys.stdout
    effects = plan["effects"]
    print("CONFIGURATION (version %d)" % plan["configuration"]["version"], file=file)
    print(json.dumps(plan["configuration"], indent=2), file=file)
    print("\nDIFFERENCE to version %d" % plan["base_version"], file=file)
    for change in plan["difference"] or []:
        print(_change(change), file=file)
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


def _change(change):
    item = (change["section"] + " " + change.get("name", "")).strip()
    if change["kind"] == "changed":
        return "~ {}: {}: {} -> {}".format(item, change["field"], change["from"], change["to"])
    return ("+ " if change["kind"] == "added" else "- ") + item
