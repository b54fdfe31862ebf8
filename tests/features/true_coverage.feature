Feature: An answer reports which shards it covers

  Scenario: A shard without a replica is reported as missing
    Given 3 shards with 1 replicas in versions 1 and 2
    When a query is sent
    And the first endpoint answers
    And the second endpoint refuses the connection
    And all other endpoints answer
    Then the answer is partial and names the second shard
    And the reply came at once

  Scenario: One lost replica costs no coverage
    Given 3 shards with 2 replicas in versions 1 and 2
    When a query is sent
    And the first endpoint refuses the connection
    And all other endpoints answer
    Then the answer is complete

  Scenario: An answer without the reply of a shard is partial
    Given 3 shards with 1 replicas in versions 1 and 2
    When a query is sent
    And the first endpoint answers
    And the deadline passes
    Then the answer is partial and names the second shard
    And the reply came before the deadline
