"""Handlers of calls about organisations, workers and instances."""

from __future__ import annotations

from ...net.http_messages import HttpResponse, json_response
from .router import ApiCall, Router, error_response, field_faults_response

__all__ = ["OperationApi"]


class OperationApi:
    """Shows organisations, charges, workers and instances; quarantines workers."""

    def __init__(self, node):
        self._node = node

    def add_routes(self, router: Router) -> None:
        """Register the handlers of this class."""
        router.add("GET", "/v1/organisations", self._organisations)
        router.add("GET", "/v1/organisations/{name}/usage", self._usage)
        router.add("GET", "/v1/workers", self._workers, operators_only=True)
        router.add(
            "POST",
            "/v1/workers/{name}/quarantine",
            self._quarantine,
            operators_only=True,
        )
        router.add("GET", "/v1/instances", self._instances, operators_only=True)

    async def _organisations(self, call: ApiCall) -> HttpResponse:
        tables = await self._node.gateway.placer_queries.worker_tables()
        shortfalls = [text for table in tables for text in table.shortfalls]
        rows = [
            _organisation_row(organisation, shortfalls)
            for name, organisation in sorted(
                self._node.configuration.organisations_by_name.items()
            )
            if call.principal.may_access(name)
        ]
        return json_response(200, {"organisations": rows})

    async def _usage(self, call: ApiCall) -> HttpResponse:
        name = call.path_parameters["name"]
        if not call.principal.may_access(name):
            return error_response(403, "forbidden", "this organisation is not yours")
        organisations = self._node.configuration.organisations_by_name
        withdrawn_organisations = (
            self._node.configuration.withdrawn_organisations_by_name
        )
        if name not in organisations and name not in withdrawn_organisations:
            return error_response(404, "no_such_organisation", name)
        return json_response(200, self._node.gateway.usage_fields(name))

    async def _workers(self, call: ApiCall) -> HttpResponse:
        tables = await self._node.gateway.placer_queries.worker_tables()
        rows = [
            {
                "name": row.name,
                "data_centre": row.data_centre,
                "rack": row.rack,
                "accelerators": row.accelerators,
                "free": row.free,
                "state": row.state,
                "detail": row.detail,
            }
            for table in tables
            for row in table.workers
        ]
        shortfalls = [text for table in tables for text in table.shortfalls]
        return json_response(200, {"workers": rows, "shortfalls": shortfalls})

    async def _quarantine(self, call: ApiCall) -> HttpResponse:
        reader = call.fields()
        if isinstance(reader, HttpResponse):
            return reader
        is_quarantined = reader.boolean("quarantined", default=True)
        if faults := reader.finish():
            return field_faults_response(faults)
        name = call.path_parameters["name"]
        if not await self._node.gateway.placer_queries.quarantine(name, is_quarantined):
            return error_response(
                503, "placer_unreachable", "the worker's placer did not answer"
            )
        return json_response(200, {"worker": name, "quarantined": is_quarantined})

    async def _instances(self, call: ApiCall) -> HttpResponse:
        view = self._node.membership.view
        rows = []
        for name, member in sorted(view.members_by_name.items()):
            info = member.instance
            state = "draining" if member.is_draining else member.status.value
            rows.append(
                {
                    "name": name,
                    "data_centre": info.data_centre,
                    "state": state,
                    "incarnation": member.incarnation,
                    "is_placer": view.placer_of(info.data_centre) == name,
                    "is_self": name == self._node.info.name,
                    "api_address": info.api_address,
                }
            )
        return json_response(200, {"instances": rows})


def _organisation_row(organisation, shortfalls: list[str]) -> dict:
    own_shortfalls = [
        text for text in shortfalls if text.startswith(f"{organisation.name}:")
    ]
    return {
        "name": organisation.name,
        "weight": organisation.weight,
        "guarantees": [
            {
                "data_centre": shape.data_centre,
                "accelerators": shape.accelerators,
                "adjacency": shape.adjacency.value,
                "count": shape.count,
            }
            for shape in organisation.guarantees
        ],
        "quota_accelerators": organisation.quota_accelerators,
        "home_region": organisation.home_region,
        "is_met": not own_shortfalls,
        "shortfalls": own_shortfalls,
    }
