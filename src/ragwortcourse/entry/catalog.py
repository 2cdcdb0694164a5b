"""Indexes over the active configuration."""

import hashlib

from ragwortcourse.configuration.client_account import ClientAccount
from ragwortcourse.configuration.configuration import ConfigurationDocument
from ragwortcourse.configuration.deployment import (
    ModelDeployment,
    ServiceDeployment,
)
from ragwortcourse.header_text import encode_header
from ragwortcourse.identifiers import (
    DeploymentName,
    Generation,
    ModelName,
    Sha256Hex,
)


class Catalog:
    """Index of client accounts, models and services of one configuration.

    Each generation is indexed once.
    """

    def __init__(self) -> None:
        self._generation = Generation(0)
        self._accounts: dict[Sha256Hex, ClientAccount] = {}
        self._models: dict[ModelName, tuple[ModelDeployment, ...]] = {}
        self._services: dict[DeploymentName, ServiceDeployment] = {}

    def read(self, document: ConfigurationDocument) -> None:
        """Index a document; later look-ups use this document."""
        if document.generation == self._generation:
            return
        configuration = document.configuration
        self._generation = document.generation
        self._accounts = {
            digest: account
            for account in configuration.client_accounts
            for digest in account.key_sha256
        }
        self._models = {}
        for model in configuration.models:
            before = self._models.get(model.model, ())
            self._models[model.model] = (*before, model)
        self._services = {
            service.name: service for service in configuration.services
        }

    @property
    def models(self) -> tuple[ModelName, ...]:
        """Return every model that has a deployment."""
        return tuple(self._models)

    def find_account(self, api_key: str) -> ClientAccount | None:
        """Look up the client account of an API key."""
        digest = hashlib.sha256(encode_header(api_key)).hexdigest()
        return self._accounts.get(Sha256Hex(digest))

    def find_models(self, model: ModelName) -> tuple[ModelDeployment, ...]:
        """List the deployments of a model."""
        return self._models.get(model, ())

    def find_service(self, name: DeploymentName) -> ServiceDeployment | None:
        """Look up a service by its name."""
        return self._services.get(name)
