"""What operators do in a soak, by its name in schedules."""

import enum


class Operation(enum.StrEnum):
    """Operations; ``SPLIT`` changes the weights of services."""

    DESIRED_STATE = 'desired state'
    DROP_ROUTE = 'drop route'
    SPLIT = 'split'
    TIMEOUTS = 'timeouts'
    GRANT = 'grant'
    REVOKE = 'revoke'
    WITHDRAW = 'withdraw'
    WITHDRAW_BRIEFLY = 'withdraw briefly'
    WEIGHTS = 'weights'
    LEAVE = 'leave'
    ORIGIN_DOWN = 'origin down'
    HISTORY_GONE = 'history gone'
