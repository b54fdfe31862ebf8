Feature: Every answer comes from one snapshot

  Scenario: A reply of another version adds no rows
    Given 3 shards with 2 replicas in versions 1 and 2
    When a query is sent
    And the first endpoint answers from version 1
    And all other endpoints answer
    Then the answer is complete
    And every row is of version 2

  Scenario: The version is retired while the query runs
    Given 3 shards with 2 replicas in versions 1 and 2
    When a query is sent
    And the first endpoint answers
    And version 2 is retired
    And the second endpoint no longer holds the version
    And all other endpoints answer
    Then the answer is complete
    And every row is of version 1
