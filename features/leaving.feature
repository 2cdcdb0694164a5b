Feature: Planned stops interrupt no call
  Hosts are replaced regularly, without an effect on callers.

  Background:
    Given a site of three failure domains under a load of 20 calls a second

  Scenario: Entry daemons stop one after the other
    When each entry daemon is stopped and replaced in turn
    Then every call was answered whole
    And every promise holds

  Scenario: Agents stop one after the other
    When each agent is stopped and replaced in turn
    Then every call was answered whole
    And every promise holds

  Scenario: The platform's list says that a target's host is leaving
    When the list says that engine-alpha-0 is leaving
    And 8 seconds pass
    Then no work has begun at engine-alpha-0 since 3 seconds after that
    And every call was answered whole
    And every promise holds
