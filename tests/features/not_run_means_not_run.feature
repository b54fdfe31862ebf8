Feature: A request that is refused as not run did not run

  Scenario: Every endpoint reports that it did not start the query
    Given 3 shards with 1 replicas in versions 1 and 2
    When a query is sent
    And every endpoint sheds the query
    Then the query is refused as not run with a retry-after time

  Scenario: An endpoint may have run the query
    Given 3 shards with 1 replicas in versions 1 and 2
    When a query is sent
    And the deadline passes
    Then the query may have run

  Scenario: The answer to the claim of a command is lost
    Given 3 shards with 2 replicas in versions 1 and 2
    When a command is sent
    And the deadline of the command passes
    Then the command is refused as not run
    And no endpoint received the command
    And the claim is released

  Scenario: The answer to a command is lost
    Given 3 shards with 2 replicas in versions 1 and 2
    When a command is sent
    And the claim is granted
    And the deadline of the command passes
    Then the outcome of the command is unknown
    And one endpoint received the command
    And the claim is not released
