Feature: No request is lost, interrupted or run twice
  The outcome that a caller is told is true, whichever component fails.

  Background:
    Given a site of three failure domains under a load of 20 calls a second

  Scenario: A target's host dies
    When host service-alpha-0 is killed
    And 3 seconds pass
    And host service-alpha-0 restarts
    And 5 seconds pass
    Then every model call was answered whole
    And every promise holds

  Scenario: An entry daemon dies and callers retry
    When host entry-alpha-0 is killed
    And callers that were cut off send again
    And 5 seconds pass
    Then every promise holds

  Scenario: An engine dies and comes back cold
    When the engine of engine-alpha-0 dies
    And 5 seconds pass
    Then every promise holds

  Scenario: A host freezes and wakes up
    When host service-alpha-0 freezes
    And 6 seconds pass
    And host service-alpha-0 thaws
    And 5 seconds pass
    Then every promise holds

  Scenario: The table service loses answers after they took effect
    When the table service loses answers
    And 5 seconds pass
    And the table service answers again
    And 5 seconds pass
    Then every promise holds

  Scenario: The table service is down
    When the table service is down
    And 5 seconds pass
    Then charges are refused at once as not run
    And every model call was answered whole
    And every promise holds

  Scenario: The same key at two entry daemons at once
    When the same charge is sent to two entry daemons at once
    Then it ran once
    And every promise holds

  Scenario: A new version lands under load
    When operators deploy version v2
    And 20 seconds pass
    Then model calls are answered by v2
    And every call was answered whole
    And every promise holds

  Scenario: A crashing request is refused where only the table reports it
    When nothing passes between alpha and gamma
    And nothing passes between beta and gamma
    And a request that crashes engines is sent at alpha
    And 5 seconds pass
    And a request that crashes engines is sent at gamma
    Then it is refused and no engine of gamma has died

  Scenario: A crashing request is refused where only agents report it
    When the table service is down
    And a request that crashes engines is sent at alpha
    And 5 seconds pass
    And a request that crashes engines is sent at gamma
    Then it is refused and no engine of gamma has died

  Scenario: Several failures at the same time
    When host engine-alpha-0 is killed
    And the table service loses answers
    And failure domain beta is cut off
    And 5 seconds pass
    And everything is mended
    And 10 seconds pass
    Then every promise holds
