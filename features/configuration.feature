Feature: An accepted configuration is in force everywhere and never reverts

  Background:
    Given a site of three failure domains under a load of 5 calls a second

  Scenario: In force within three seconds
    When operators accept a configuration
    And 3 seconds pass
    Then it is in force at every daemon

  Scenario: In force at daemons that cannot reach the platform
    When the platform can not be reached from gamma
    And operators at alpha accept a configuration
    And 3 seconds pass
    Then it is in force at every daemon

  Scenario: Two operators submit changes concurrently
    When two operators accept configurations at once
    And 3 seconds pass
    Then one of them is in force at every daemon

  Scenario: A daemon starts while the platform is down
    When operators accept a configuration
    And 3 seconds pass
    And the platform is down
    And every entry daemon of alpha is replaced
    And 3 seconds pass
    Then it is in force at every daemon

  Scenario: A daemon reconnects after a long partition
    When failure domain gamma is cut off from all and from the platform
    And operators at alpha accept a configuration
    And 30 seconds pass
    And everything is mended
    And 3 seconds pass
    Then it is in force at every daemon

  Scenario: The platform comes back with an older state
    When operators accept a configuration
    And 3 seconds pass
    And the table service goes back to an older state
    And 5 seconds pass
    Then no daemon went back to a lower generation
