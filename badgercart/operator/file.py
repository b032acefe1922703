"""badgercart's operator's file: its tables, and the installation that a checked one describes."""

from __future__ import annotations

import json
import secrets
import tomllib
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from badgercart.config import Address, Config
from badgercart.fronts.graphql.settings import FieldMap, GraphqlSettings, Limits
from badgercart.fronts.processor.settings import HeaderNames, OldAnswers, ProcessorSettings, Tls
from badgercart.membership.etcd.settings import EtcdSettings, EtcdTls
from badgercart.operator.locate import lines_of
from badgercart.operator.schema import (
    REQUIRED,
    Checker,
    Problem,
    Setting,
    Table,
    address,
    addresses,
    choice,
    flag,
    headers,
    maybe,
    names,
    number,
    text,
    whole,
)
from cottonhall.interface import Effect, Group, RequestClass, Settings

LONG = 3_600_000.0  # ms; nothing here lasts longer than an hour
MAX_FILE = 1 << 20  # bytes


class FileError(Exception):
    """A file that can't be used: all that is wrong with it, in the order of its lines."""

    def __init__(self, path: str, problems: list[Problem]) -> None:
        self.path = path
        self.problems = sorted(problems)
        super().__init__("\n".join(f"{path}: {problem}" for problem in self.problems))


def _ms(default: Any, about: str, least: float = 0.0, most: float = LONG) -> Setting:
    return Setting(number(least, most), default, f"{about} (ms)")


_NODE = Table(
    "what this node is",
    {
        "name": Setting(text, "badgercart", "its name in the log"),
        "zone": Setting(maybe(text), None, "its own zone, one of fleet.zones"),
        "seed": Setting(maybe(text), None, "the seed of its random numbers, hexadecimal; new if not given"),
        "sockets": Setting(whole(64, 1_000_000), 1024, "descriptors that the process may hold"),
        "number": Setting(whole(0, 65535), 0, "its number among the nodes, from 0"),
        "nodes": Setting(whole(1, 65536), 1, "how many nodes share the fleet"),
    },
)
_FLEET = Table(
    "what all servers have in common",
    {
        "zones": Setting(names, (), "the zones' names"),
        "kinds": Setting(names, (), "the kinds of machine"),
        "cold_from": Setting(number(0.01, 1), 1.0, "the share of its capacity with which a server starts"),
        "ramp_ms": _ms(0.0, "the time in which a started server is warm"),
        "drain_grace_ms": _ms(500.0, "the time after which nothing new goes to a draining server", 50.0),
        "warm_keys": Setting(flag, False, "whether a server that met a key lately serves it with less work"),
        "full_may_have_run": Setting(
            flag, False, "whether 'turned away' is said also of work that had begun"
        ),
        "dial_timeout_ms": _ms(200.0, "the time for a connection to a server to come up", 1.0),
        "idle_ms": _ms(15000.0, "the time after which servers close a connection that carries nothing", 10.0),
    },
)
_RETRY = Table(
    "sending again and sending away",
    {
        "max_attempts": Setting(whole(1, 16), 4, "attempts for a request at the most"),
        "max_retry_after_ms": _ms(600.0, "the longest time for which a refused client is sent away"),
        "cancel": Setting(flag, True, "whether attempts that are no longer wanted are given up"),
        "over_share_worth": Setting(number(0, 1), 0.05, "the part of its worth left beyond a tenant's share"),
    },
)
_CLASS = Table(
    "a class of requests",
    {
        "name": Setting(text, REQUIRED, "the first part of its requests' paths"),
        "aim_ms": _ms(REQUIRED, "the time within which an answer has its whole worth", 1.0),
        "deadline_ms": _ms(REQUIRED, "the time after which clients give up", 1.0),
        "worth": Setting(number(0, 1e6), REQUIRED, "what one is worth beside the others"),
        "effect": Setting(choice("safe", "keyed", "unsafe"), REQUIRED, "what repeating one does"),
        "group": Setting(choice("all", "zone", "cell"), "all", "keyed: the servers that drop its repeats"),
        "window_ms": _ms(0.0, "keyed: the time for which repeats are dropped"),
        "late_value": Setting(number(0, 1), 0.0, "the part of its worth left after the aim"),
    },
    many=True,
    needed=True,
)
_TENANT = Table(
    "a tenant and its share",
    {
        "name": Setting(text, REQUIRED, "the name in the header Tenant"),
        "quota_per_s": Setting(number(0, 1e9), REQUIRED, "requests a second over all nodes"),
    },
    many=True,
)
_SERVER = Table(
    "a server that is listed here, for trials and small installations",
    {
        "name": Setting(text, REQUIRED, "its instance id"),
        "address": Setting(address, REQUIRED, "its host:port"),
        "zone": Setting(text, "", "its zone"),
        "kind": Setting(text, "", "its kind of machine"),
        "cell": Setting(whole(0, 65535), 0, "its cell"),
        "weight": Setting(number(0, 1e6), 1.0, "its size beside the others"),
    },
    many=True,
)
_E = EtcdSettings(())
_ETCD = Table(
    "the server list from etcd v3, one key an entry under a prefix",
    {
        "endpoints": Setting(addresses, REQUIRED, "the host:port of each member"),
        "prefix": Setting(text, _E.prefix, "what the entries' keys begin with"),
        "user": Setting(maybe(text), None, "the user, where etcd wants one"),
        "password_file": Setting(maybe(text), None, "the file that holds the user's password"),
        "page": Setting(whole(1, 10_000), _E.page, "entries in one page of the list"),
        "progress_ms": _ms(_E.progress, "the time between questions whether the watch is whole", 10.0),
        "silence_ms": _ms(_E.silence, "the time for an answer, after which the connection is given up", 10.0),
        "call_ms": _ms(_E.call, "the time for a connection and for each page", 10.0),
        "retry_first_ms": _ms(_E.retry_first, "the time before the first new try", 1.0),
        "retry_most_ms": _ms(_E.retry_most, "the longest time before a new try", 1.0),
        "doubtful_after_ms": _ms(_E.doubtful_after, "the age from which on the list is doubtful", 10.0),
        "stale_after_ms": _ms(_E.stale_after, "the age from which on the list is stale", 10.0),
        "when_stale": Setting(choice("refuse", "go-on"), _E.when_stale, "what happens then"),
        "guard_share": Setting(number(0, 1), _E.guard_share, "a list with less of its servers is held back"),
        "known_file": Setting(maybe(text), None, "where the list is kept for a start while etcd is away"),
    },
    {
        "tls": Table(
            "TLS to etcd, from PEM files",
            {
                "ca": Setting(text, REQUIRED, "the file with the authorities of etcd's certificates"),
                "cert": Setting(maybe(text), None, "the file with this node's certificate"),
                "key": Setting(maybe(text), None, "the file with its private key"),
            },
            optional=True,
        )
    },
    optional=True,
)
_MEMBERS = Table(
    "where the server list comes from: one of these",
    {"catalog": Setting(maybe(address), None, "the host:port of the platform's discovery")},
    {"server": _SERVER, "etcd": _ETCD},
)
_HTTP = Table(
    "a listener for HTTP/1.1 clients",
    {"listen": Setting(address, REQUIRED, "the host:port to listen on")},
    optional=True,
)
_HEADERS = Table(
    "which headers describe a request; of several the first that is there counts",
    {
        name: Setting(headers, getattr(HeaderNames(), name), f"the headers that may hold {about}")
        for name, about in {
            "request_id": "the request's id",
            "tenant": "the tenant",
            "idempotency_key": "the idempotency key",
            "timeout": "the time that is left, as 480m or 1500u",
            "timeout_ms": "the time that is left, in ms",
            "attempt": "the number of the attempt, from 1",
            "work_hint": "a guess at the work, in microseconds",
            "retry": "a 1 for a client's retry",
            "proxy": "the calling proxy's name, in the metadata of its call",
        }.items()
    },
)
_TLS = Table(
    "TLS on the listener, from PEM files that are read anew on SIGHUP",
    {
        "cert": Setting(text, REQUIRED, "the file with the certificate and its chain"),
        "key": Setting(text, REQUIRED, "the file with its private key"),
        "client_ca": Setting(maybe(text), None, "the file with the authorities of clients' certificates"),
    },
    optional=True,
)
_D, _O = ProcessorSettings(("", 0)), OldAnswers()
_PROCESSOR = Table(
    "a listener for proxies that ask by Envoy's external processing protocol",
    {
        "listen": Setting(address, REQUIRED, "the host:port to listen on"),
        "max_streams": Setting(whole(1, 100_000), _D.max_streams, "streams open at once"),
        "max_connection_streams": Setting(
            whole(1, 100_000), _D.max_connection_streams, "streams open at once on one connection"
        ),
        "max_message_bytes": Setting(whole(1024, 1 << 22), _D.max_message, "the size of one message (bytes)"),
        "max_headers": Setting(whole(8, 1000), _D.max_headers, "headers in one message"),
        "first_message_ms": _ms(_D.first_message, "the time for a stream to ask", 100.0),
        "answer_age_ms": _ms(_D.answer_age, "the time for which an answer may be used", 1.0, 500.0),
        "fallbacks": Setting(
            whole(0, 8), _D.fallbacks, "servers named behind the first where the class allows it"
        ),
        "later_attempts": Setting(
            flag, _D.later_attempts, "whether proxies ask again here for a further attempt"
        ),
        "later_wait_ms": _ms(_D.later_wait, "the time for which a request waits to be asked again", 1.0),
        "late_ms": _ms(_D.late, "the time after an attempt's limit for the proxy to tell its end", 1.0),
        "whole_retry_after": Setting(
            flag, _D.whole_retry_after, "whether Retry-After is told in whole seconds, rounded up"
        ),
        "max_finals": Setting(
            whole(1, 1_000_000), _D.max_finals, "requests remembered after their final answer"
        ),
    },
    {
        "headers": _HEADERS,
        "tls": _TLS,
        "old_answers": Table(
            "what happens to a proxy that uses answers beyond their age",
            {
                "window_ms": _ms(_O.window, "the time over which uses are counted", 1000.0),
                "no_fallbacks_after": Setting(
                    whole(1, 100_000), _O.no_fallbacks_after, "uses after which it gets no fallbacks"
                ),
                "refuse_after": Setting(whole(1, 100_000), _O.refuse_after, "uses after which it is refused"),
                "refuse_for_ms": _ms(_O.refuse_for, "the time for which it then is refused", 100.0),
            },
        ),
    },
    optional=True,
)
_G, _L = GraphqlSettings(("", 0), ""), Limits()
_GRAPHQL = Table(
    "a listener for GraphQL clients, in front of GraphQL dispatch servers",
    {
        "listen": Setting(address, REQUIRED, "the host:port to listen on"),
        "schema": Setting(text, REQUIRED, "the file with the schema's definition"),
        "path": Setting(text, _G.path, "the path of requests, here and at the servers"),
        "allow_list": Setting(maybe(text), None, "a JSON file of the only documents taken, by their SHA-256"),
        "introspection": Setting(flag, _G.introspection, "whether clients may read the schema"),
        "cache_bytes": Setting(whole(0, 1 << 30), _G.cache, "what documents and plans may hold (bytes)"),
    },
    {
        "limits": Table(
            "what a document may cost",
            {
                name: Setting(whole(1, 1 << 20), getattr(_L, name), about)
                for name, about in {
                    "document": "its size (bytes)",
                    "tokens": "its tokens",
                    "depth": "levels of selections",
                    "aliases": "aliases of one operation",
                    "root_fields": "root fields of one operation",
                    "directives": "directives of one operation",
                    "fields": "fields of one operation",
                    "variables": "the size of the variables (bytes)",
                }.items()
            },
        ),
        "field": Table(
            "a root field",
            {
                "name": Setting(text, REQUIRED, "Query.name or Mutation.name"),
                "class": Setting(text, REQUIRED, "the class of its requests"),
                "affinity": Setting(maybe(text), None, "the argument that says what it is about"),
                "key": Setting(maybe(text), None, "the argument that holds its idempotency key"),
            },
            many=True,
            needed=True,
        ),
    },
    optional=True,
)
FILE = Table(
    "an operator's file",
    tables={
        "node": _NODE,
        "fleet": _FLEET,
        "retry": _RETRY,
        "class": _CLASS,
        "tenant": _TENANT,
        "members": _MEMBERS,
        "fronts": Table("who may ask", tables={"http": _HTTP, "processor": _PROCESSOR, "graphql": _GRAPHQL}),
    },
)


@dataclass(slots=True, frozen=True)
class Installation:
    """What an operator's file switches on."""

    config: Config
    http: Address | None
    processor: ProcessorSettings | None
    catalog: Address | None
    graphql: GraphqlSettings | None
    etcd: EtcdSettings | None
    servers: list[dict[str, Any]]  # lines of a server list, where it is written in the file


def load(path: str) -> Installation:
    """Read and check a file. FileError names all that is wrong with it."""
    try:
        with Path(path).open("rb") as file:
            data = file.read(MAX_FILE + 1)
        if len(data) > MAX_FILE:
            raise ValueError(f"over {MAX_FILE} bytes")
        written = data.decode()
        raw = tomllib.loads(written)
    except OSError as error:
        raise FileError(path, [Problem(0, "", error.strerror or str(error))]) from None
    except (ValueError, RecursionError) as error:  # also what is no UTF-8 and no TOML
        raise FileError(path, [Problem(0, "", str(error))]) from None
    checker = Checker(lines_of(written))
    values = checker.table(raw, FILE)
    if not checker.problems:
        _cross_check(values, Path(path).parent, checker)
    if checker.problems:
        raise FileError(path, checker.problems)
    return _build(values, Path(path).parent)


def _cross_check(values: dict[str, Any], folder: Path, checker: Checker) -> None:
    """What only several settings together can get wrong."""
    for table in ("class", "tenant"):
        seen: set[str] = set()
        for at, item in enumerate(values[table]):
            if item["name"] in seen:
                checker.blame((table, at, "name"), f"{item['name']!r} stands here twice")
            seen.add(item["name"])
    for at, cls in enumerate(values["class"]):
        if cls["aim_ms"] > cls["deadline_ms"]:
            checker.blame(("class", at, "aim_ms"), "is later than deadline_ms")
        if cls["effect"] == "keyed" and not cls["window_ms"]:
            checker.blame(("class", at, "effect"), "keyed needs a window_ms above 0")
        if "/" in cls["name"]:
            checker.blame(("class", at, "name"), "holds a slash: it is one part of a path")
    node, fleet, fronts, members = (values[name] for name in ("node", "fleet", "fronts", "members"))
    if node["zone"] is not None and node["zone"] not in fleet["zones"]:
        checker.blame(("node", "zone"), f"{node['zone']!r} is none of fleet.zones")
    if node["number"] >= node["nodes"]:
        checker.blame(("node", "number"), "is not below node.nodes")
    try:
        int(node["seed"] or "0", 16)
    except ValueError:
        checker.blame(("node", "seed"), "is not hexadecimal")
    if not any(fronts.values()):
        checker.blame(("fronts",), f"nobody may ask: switch on one of {', '.join(fronts)}")
    if fronts["graphql"] is not None:
        _check_graphql(values, folder, checker)
    sources = [name for name in ("catalog", "server", "etcd") if members[name]]
    if len(sources) != 1:
        words = "one of catalog, [[members.server]] and [members.etcd]"
        checker.blame(("members",), f"the server list comes from {words}, not {len(sources)}")
    if members["etcd"] is not None:
        _check_etcd(members["etcd"], checker)
    for at, server in enumerate(members["server"]):
        for key, known in (("zone", fleet["zones"]), ("kind", fleet["kinds"])):
            if server[key] and server[key] not in known:
                checker.blame(("members", "server", at, key), f"{server[key]!r} is none of fleet.{key}s")
    processor = fronts["processor"]
    if processor is not None:
        path = ("fronts", "processor")
        if processor["answer_age_ms"] > fleet["drain_grace_ms"]:
            checker.blame((*path, "answer_age_ms"), "is longer than fleet.drain_grace_ms")
        old = processor["old_answers"]
        if old["refuse_after"] < old["no_fallbacks_after"]:
            checker.blame((*path, "old_answers", "refuse_after"), "is below no_fallbacks_after")


def _check_etcd(etcd: dict[str, Any], checker: Checker) -> None:
    path = ("members", "etcd")
    if (etcd["user"] is None) != (etcd["password_file"] is None):
        checker.blame((*path, "user"), "user and password_file go together")
    if etcd["doubtful_after_ms"] > etcd["stale_after_ms"]:
        checker.blame((*path, "doubtful_after_ms"), "is later than stale_after_ms")
    if etcd["progress_ms"] >= etcd["doubtful_after_ms"]:
        checker.blame((*path, "progress_ms"), "leaves no time for an answer before doubtful_after_ms")
    if etcd["tls"] is not None and (etcd["tls"]["cert"] is None) != (etcd["tls"]["key"] is None):
        checker.blame((*path, "tls", "cert"), "cert and key go together")


def _check_graphql(values: dict[str, Any], folder: Path, checker: Checker) -> None:
    """The map against the schema: its library is heavy, and needed only where this front is switched on."""
    from badgercart.fronts.graphql.mapping import faults, read_schema

    graphql, path = values["fronts"]["graphql"], ("fronts", "graphql")
    if not graphql["path"].startswith("/"):
        checker.blame((*path, "path"), "does not begin with a slash")
    allow_list = graphql["allow_list"]
    try:
        if allow_list is not None and not isinstance(json.loads((folder / allow_list).read_bytes()), dict):
            checker.blame((*path, "allow_list"), "holds no JSON object")
    except (OSError, ValueError) as error:
        checker.blame((*path, "allow_list"), f"can't be read: {error}")
    try:
        schema = read_schema((folder / graphql["schema"]).read_text())
    except (OSError, ValueError) as error:
        checker.blame((*path, "schema"), f"can't be used: {error}")
        return
    places = {item["name"]: at for at, item in enumerate(graphql["field"])}
    if len(places) < len(graphql["field"]):
        checker.blame((*path, "field"), "names a field twice")
    effects = {cls["name"]: Effect(cls["effect"]) for cls in values["class"]}
    for name, key, words in faults(schema, _fields(graphql), effects):
        place: tuple[str | int, ...] = (*path, "field", places[name]) if name else (*path, "field")
        checker.blame((*place, key) if key else place, words)


def _fields(values: dict[str, Any]) -> dict[str, FieldMap]:
    return {item["name"]: FieldMap(item["class"], item["affinity"], item["key"]) for item in values["field"]}


def _graphql(values: dict[str, Any], folder: Path) -> GraphqlSettings:
    return GraphqlSettings(
        listen=values["listen"],
        schema=str(folder / values["schema"]),
        path=values["path"],
        allow_list=str(folder / values["allow_list"]) if values["allow_list"] else None,
        introspection=values["introspection"],
        cache=values["cache_bytes"],
        limits=Limits(**values["limits"]),
        fields=_fields(values),
    )


def _etcd(values: dict[str, Any]) -> EtcdSettings:
    plain = (
        "endpoints",
        "prefix",
        "user",
        "password_file",
        "page",
        "when_stale",
        "guard_share",
        "known_file",
    )
    times = ("progress", "silence", "call", "retry_first", "retry_most", "doubtful_after", "stale_after")
    return EtcdSettings(
        tls=EtcdTls(**values["tls"]) if values["tls"] else None,
        **{name: values[name] for name in plain},
        **{name: values[f"{name}_ms"] for name in times},
    )


def _build(values: dict[str, Any], folder: Path) -> Installation:
    node, fleet, retry, fronts, members = (
        values[name] for name in ("node", "fleet", "retry", "fronts", "members")
    )
    settings = Settings(
        classes=tuple(
            RequestClass(
                aim=cls["aim_ms"],
                deadline=cls["deadline_ms"],
                worth=cls["worth"],
                effect=Effect(cls["effect"]),
                group=Group(cls["group"]),
                window=cls["window_ms"],
                late_value=cls["late_value"],
            )
            for cls in values["class"]
        ),
        zone=fleet["zones"].index(node["zone"]) if node["zone"] is not None else 0,
        group_size=node["nodes"],
        me=node["number"],
        quotas=tuple(tenant["quota_per_s"] for tenant in values["tenant"]),
        over_quota_worth=retry["over_share_worth"],
        warm_keys=fleet["warm_keys"],
        may_cancel=retry["cancel"],
        max_attempts=retry["max_attempts"],
        max_retry_after=retry["max_retry_after_ms"],
        full_may_have_run=fleet["full_may_have_run"],
        cold_from=fleet["cold_from"],
        ramp_time=fleet["ramp_ms"],
    )
    config = Config(
        name=node["name"],
        listen=fronts["http"]["listen"] if fronts["http"] else ("", 0),
        discovery=members["catalog"] or ("", 0),
        seed=int(node["seed"], 16) if node["seed"] else secrets.randbits(64),
        sockets=node["sockets"],
        known={},
        settings=settings,
        classes={cls["name"].encode(): i for i, cls in enumerate(values["class"])},
        tenants={tenant["name"].encode(): i for i, tenant in enumerate(values["tenant"])},
        kinds={name: i for i, name in enumerate(fleet["kinds"])},
        zones={name: i for i, name in enumerate(fleet["zones"])},
        dial_timeout=fleet["dial_timeout_ms"],
        idle_timeout=fleet["idle_ms"],
    )
    servers = [
        {
            "instanceId": server["name"],
            "hostPort": "{}:{}".format(*server["address"]),
            "zone": server["zone"],
            "machineType": server["kind"],
            "cell": server["cell"],
            "lifecycle": "active",
            "weight": server["weight"],
            "startedAtMs": 0,
        }
        for server in members["server"]
    ]
    return Installation(
        config=config,
        http=fronts["http"]["listen"] if fronts["http"] else None,
        processor=_processor(fronts["processor"], fleet["drain_grace_ms"]) if fronts["processor"] else None,
        graphql=_graphql(fronts["graphql"], folder) if fronts["graphql"] else None,
        catalog=members["catalog"],
        etcd=_etcd(members["etcd"]) if members["etcd"] else None,
        servers=servers,
    )


def _processor(values: dict[str, Any], drain_grace: float) -> ProcessorSettings:
    old = values["old_answers"]
    return ProcessorSettings(
        listen=values["listen"],
        tls=Tls(**values["tls"]) if values["tls"] else None,
        max_streams=values["max_streams"],
        max_connection_streams=values["max_connection_streams"],
        max_message=values["max_message_bytes"],
        max_headers=values["max_headers"],
        first_message=values["first_message_ms"],
        answer_age=values["answer_age_ms"],
        drain_grace=drain_grace,
        fallbacks=values["fallbacks"],
        later_attempts=values["later_attempts"],
        later_wait=values["later_wait_ms"],
        late=values["late_ms"],
        whole_retry_after=values["whole_retry_after"],
        max_finals=values["max_finals"],
        headers=HeaderNames(**values["headers"]),
        old_answers=OldAnswers(
            old["window_ms"], old["no_fallbacks_after"], old["refuse_after"], old["refuse_for_ms"]
        ),
    )
