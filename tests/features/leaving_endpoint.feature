Feature: A draining endpoint gets no new work
  An endpoint announces that it is draining. Work in flight is finished, and no
  instance plans or sends new work for it.

  Scenario: Every instance learns that the endpoint is draining
    Given 7 instances and the endpoint "s1" that announces itself
    When "s1" announces to one instance that it is draining
    And 3000 ms pass
    Then no instance plans work for "s1"

  Scenario: A partitioned instance stops using the endpoint as well
    Given 7 instances and the endpoint "s1" that announces itself
    And "e5" receives nothing from the other instances
    When "s1" announces to one instance that it is draining
    And 3000 ms pass
    Then no instance plans work for "s1"

  Scenario: The owner finishes the attempt in flight and starts no other
    Given an owner with the attempt "runs" in flight and "waits" in the queue
    When the owner learns that the endpoint is draining
    Then "waits" is answered as "not_started"
    And a new attempt "late" is answered as "not_started"
    When the endpoint answers "runs"
    Then "runs" is answered as "ok"
    And the owner has no connection to the endpoint
