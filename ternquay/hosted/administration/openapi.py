"""The OpenAPI 3.1 description, generated from the routes and the documents, so that it can't deviate from them."""

from functools import cache
from typing import Any

import msgspec

from ternquay import VERSION
from ternquay.hosted.administration.routes import ROUTES, Route
from ternquay.hosted.tenants.documents import TenantDocument

PROBLEM = {
    "type": "object",
    "required": ["type", "title", "status", "detail"],
    "properties": {
        "type": {"type": "string"},
        "title": {"type": "string"},
        "status": {"type": "integer"},
        "detail": {"type": "string"},
        "field": {"type": "string"},
    },
}
QUERY_DESCRIPTIONS = {
    "cursor": "Where the page before ended",
    "limit": "Of a page",
    "after": "What comes after it",
    "wait_s": "For something new, in seconds",
}


def _operation(route: Route) -> dict[str, Any]:
    names = [segment[1:-1] for segment in route.path.split("/") if segment.startswith("{")]
    parameters: list[dict[str, Any]] = [
        {"name": name, "in": "path", "required": True, "schema": {"type": "string"}} for name in names
    ]
    parameters += [
        {
            "name": name,
            "in": "query",
            "description": QUERY_DESCRIPTIONS[name],
            "schema": {"type": "string" if name == "cursor" else "integer"},
        }
        for name in route.query
    ]
    if route.is_change:
        parameters.append(
            {
                "name": "Idempotency-Key",
                "in": "header",
                "schema": {"type": "string", "maxLength": 255},
                "description": "A call that is repeated with it changes nothing twice",
            }
        )
        if route.method != "POST":
            parameters.append(
                {
                    "name": "If-Match",
                    "in": "header",
                    "required": True,
                    "schema": {"type": "string"},
                    "description": "The version that the change is meant for",
                }
            )
    problems = {
        "description": "A problem",
        "content": {"application/problem+json": {"schema": {"$ref": "#/components/schemas/Problem"}}},
    }
    operation: dict[str, Any] = {
        "operationId": route.name,
        "summary": route.summary,
        "parameters": parameters,
        "description": f"For keys of scope {route.scope.value} and above.",
        "responses": {
            str(route.status): {
                "description": "Done" if route.is_change else "Found",
                "content": {"application/json": {"schema": {"type": "object"}}},
            },
            "default": problems,
        },
    }
    if route.body_type is not None:
        operation["requestBody"] = {
            "required": True,
            "content": {"application/json": {"schema": {"$ref": f"#/components/schemas/{route.body_type.__name__}"}}},
        }
    return operation


@cache
def description() -> dict[str, Any]:
    """Returns the OpenAPI document."""
    document_types = [TenantDocument, *{route.body_type for route in ROUTES if route.body_type is not None}]
    _, schemas = msgspec.json.schema_components(document_types, ref_template="#/components/schemas/{name}")
    paths: dict[str, dict[str, Any]] = {}
    for route in ROUTES:
        paths.setdefault(route.path, {})[route.method.lower()] = _operation(route)
    return {
        "openapi": "3.1.0",
        "info": {"title": "ternquay administration", "version": VERSION},
        "security": [{"token": []}],
        "paths": paths,
        "components": {
            "schemas": {**dict(sorted(schemas.items())), "Problem": PROBLEM},
            "securitySchemes": {"token": {"type": "http", "scheme": "bearer"}},
        },
    }
