"""HTTP header names used with callers, engines and between daemons."""

from typing import Final

# Requests of callers and answers to callers.
REQUEST_ID: Final = 'x-request-id'
DEADLINE_MS: Final = 'x-deadline-ms'
PRIORITY: Final = 'x-priority'
IDEMPOTENCY_KEY: Final = 'idempotency-key'
IDEMPOTENT_MARK: Final = 'x-idempotent'
REPLAYED: Final = 'x-idempotent-replay'
OUTCOME: Final = 'x-outcome'
MODEL_VERSION: Final = 'x-model-version'
ERROR_CODE: Final = 'x-error-code'
RETRY_AFTER: Final = 'retry-after'
TRACE_PARENT: Final = 'traceparent'

# Answers of engines.
ENGINE_INSTANCE: Final = 'x-engine-instance'

# Messages between entry daemons and agents.
OWN_PREFIX: Final = 'x-rc-'
ATTEMPT_ID: Final = 'x-rc-attempt'
CLIENT_ACCOUNT: Final = 'x-rc-account'
ACCOUNT_WEIGHT: Final = 'x-rc-account-weight'
DEPLOYMENT: Final = 'x-rc-deployment'
GENERATION: Final = 'x-rc-generation'
IDEMPOTENT: Final = 'x-rc-idempotent'
ADAPTER: Final = 'x-rc-adapter'
FINGERPRINT: Final = 'x-rc-fingerprint'
RUN_METHOD: Final = 'x-rc-method'
RUN_PATH: Final = 'x-rc-path'
SPARE: Final = 'x-rc-spare'
SERVED: Final = 'x-rc-served'
TARGET: Final = 'x-rc-target'
SENDER: Final = 'x-rc-sender'
SILENT: Final = 'x-rc-silent'
SUSPECT: Final = 'x-rc-suspect'
AGE_MS: Final = 'x-rc-age-ms'
REQUEST: Final = 'x-rc-request'
RELAYED_PREFIX: Final = 'x-rc-h-'
