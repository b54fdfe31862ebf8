Feature: An endpoint that is leaving
  An endpoint announces that it drains. Work in flight is finished, and no
  instance plans or sends new work for it.

  Scenario: Every instance hears of the drain
    Given 7 instances and the endpoint "s1" that announces itself
    When "s1" announces to one instance that it is leaving
    And 3000 ms pass
    Then no instance plans work for "s1"

  Scenario: A cut-off instance stops using the endpoint as well
    Given 7 instances and the endpoint "s1" that announces itself
    And "e5" receives nothing from the other instances
    When "s1" announces to one instance that it is leaving
    And 3000 ms pass
    Then no instance plans work for "s1"

  Scenario: The owner finishes what is in flight and starts nothing
    Given an owner with the attempt "runs" in flight and "waits" in the queue
    When the owner hears that the endpoint is leaving
    Then "waits" is answered as "not_started"
    And a new attempt "late" is answered as "not_started"
    When the endpoint answers "runs"
    Then "runs" is answered as "ok"
    And the owner has no connection to the endpoint
