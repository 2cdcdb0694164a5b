Feature: Failure domains leave and return
  Operators withdraw a failure domain at short notice and return it later.

  Background:
    Given a site of three failure domains under a load of 20 calls a second

  Scenario: A withdrawn failure domain gets no new work
    When operators withdraw failure domain beta
    And 10 seconds pass
    Then no work has begun in beta since 3 seconds after its withdrawal
    And every call was answered whole
    And every promise holds

  Scenario: A failure domain returns
    When operators withdraw failure domain beta
    And 5 seconds pass
    And operators return failure domain beta
    And 10 seconds pass
    Then work has begun again in beta
    And every call was answered whole
    And every promise holds

  Scenario: A failure domain is withdrawn while the table service is down
    When the table service is down
    And operators withdraw failure domain beta
    And 10 seconds pass
    Then no work has begun in beta since 3 seconds after its withdrawal
    And every model call was answered whole
    And every promise holds

  Scenario: A withdrawal made without the table service is written later
    When the table service is down
    And operators withdraw failure domain beta
    And 5 seconds pass
    And the table service answers again
    And 8 seconds pass
    And every daemon is replaced
    And 8 seconds pass
    Then no work has begun in beta since 3 seconds after its withdrawal
    And every promise holds

  Scenario: A failure domain is withdrawn while another one is cut off
    When failure domain gamma is cut off
    And the table service is down
    And operators at alpha withdraw failure domain beta
    And 10 seconds pass
    Then no work has begun in beta since 3 seconds after its withdrawal
    And every promise holds

  Scenario: A withdrawal spreads between entry daemons without agents
    When every agent is killed
    And the table service is down
    And operators at alpha withdraw failure domain beta
    And 3 seconds pass
    Then every entry daemon that lives has withdrawn beta

  Scenario: A withdrawal spreads through agents alone
    When the table service is down
    And every entry daemon of beta is killed
    And nothing passes between alpha and gamma
    And operators at alpha withdraw failure domain beta
    And 3 seconds pass
    Then every entry daemon that lives has withdrawn beta

  Scenario: Two operators withdraw and return a failure domain concurrently
    When operators withdraw failure domain beta
    And 1 seconds pass
    And one operator returns failure domain beta while another withdraws it
    And 8 seconds pass
    Then every daemon agrees on beta
    And every promise holds

  Scenario: A partitioned failure domain keeps serving its last configuration
    When failure domain gamma is cut off from all and from the platform
    And 10 seconds pass
    Then model calls at gamma were answered whole while it was cut off
    And every promise holds

  Scenario: Every host of a failure domain dies and restarts
    When every host of failure domain beta is killed
    And 5 seconds pass
    And every host of failure domain beta restarts
    And 15 seconds pass
    Then work has begun again in beta
    And every promise holds
