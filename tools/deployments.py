"""Deployments of two users at their current sizes."""

import hashlib

__all__ = [
    "Deployment",
    "RouterSpec",
    "ServerSpec",
    "asante_boateng",
    "customer_key",
    "kowhai",
]

CUSTOMERS = 10


def customer_key(customer):
    """Return the API key of a customer of a test deployment."""
    return f"key-of-{customer}"


class RouterSpec:
    """Hold the name, zone and settings of a router."""

    def __init__(self, name, zone, **settings):
        self.name = name
        self.zone = zone
        self.settings = settings


class ServerSpec:
    """Hold the name, zone and service of a backend server and its agent.

    :param kind: ``model`` or ``application``
    :param profile: fields of :class:`standins.engine.EngineProfile`
    """

    def __init__(self, name, zone, service, kind, **profile):
        self.name = name
        self.zone = zone
        self.service = service
        self.kind = kind
        self.profile = profile


class Deployment:
    """Hold the zones, routers, servers and services of a user."""

    def __init__(self, region, zones, routers, servers, services):
        self.region = region
        self.zones = zones
        self.routers = routers
        self.servers = servers
        self.services = services
        self.customers = [f"customer-{n}" for n in range(CUSTOMERS)]

    def entities(self):
        """Return the (kind, name, value) of all entities, in order."""
        entities = [
            ("zone", zone, {"state": "in", "region": self.region})
            for zone in self.zones
        ]
        for name, value in self.services.items():
            model = value.get("model")
            if model:
                entities.append(("model", model, {"weight_mb": 14000}))
            entities.append(("service", name, value))
        for customer in self.customers:
            key = customer_key(customer).encode()
            digest = hashlib.sha256(key).hexdigest()
            entities.append(("customer", customer, {"key_sha256": digest}))
            for service in self.services:
                value = {
                    "customer": customer,
                    "service": service,
                    "weight": 1.0,
                    "priority": 5,
                }
                name = f"{customer}:{service}"
                entities.append(("binding", name, value))
        return entities


def _deployment(region, zones, model, application, protected, **profile):
    routers = [RouterSpec(f"router-{zone}", zone) for zone in zones]
    servers = [
        ServerSpec(f"{model}-{n}", zones[n % 3], model, "model", **profile)
        for n in range(5)
    ]
    servers += [
        ServerSpec(f"{application}-{n}", zone, application, "application")
        for n, zone in enumerate(zones)
    ]
    services = {
        model: {
            "kind": "model",
            "model": f"{model}-7b",
            "model_version": "1",
            "zones": zones,
            "cap_multiple": 1.25,
            "slots": 16,
            "deadline_ms": 30_000,
            "first_token_ms": 2000,
        },
        application: {
            "kind": "application",
            "zones": zones,
            "cap_multiple": 4.0,
            "slots": 64,
            "deadline_ms": 15_000,
            "protected": protected,
            "answer_retention_s": 3600,
        },
    }
    return Deployment(region, zones, routers, servers, services)


def kowhai(**profile):
    """Return the deployment of Kowhai Frameworks."""
    zones = ["inv-1", "inv-2", "inv-3"]
    protected = [{"method": "POST", "prefix": "/exports"}]
    return _deployment(
        "nz-south", zones, "captions", "exports", protected, **profile
    )


def asante_boateng(**profile):
    """Return the deployment of Asante-Boateng Storage."""
    zones = ["acc-1", "acc-2", "acc-3"]
    protected = [
        {"method": "POST", "prefix": "/bookings"},
        {"method": "POST", "prefix": "/charges"},
    ]
    return _deployment(
        "gh-accra", zones, "assistant", "bookings", protected, **profile
    )
