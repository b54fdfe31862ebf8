Feature: A request that crashes endpoints is stopped

  Scenario: A suspected request spares the last endpoint
    Given 3 shards with 2 replicas in versions 1 and 2
    And the request was in flight at the crash of endpoint s00-0
    And endpoint s00-0 is lost
    When a query is sent
    Then endpoint s00-1 is not queried

  Scenario: A request in flight at two crashes is refused as condemned
    Given 3 shards with 2 replicas in versions 1 and 2
    And the request was in flight at the crash of endpoint s00-0
    And the request was in flight at the crash of endpoint s00-1
    When a query is sent
    Then the query is refused as condemned

  Scenario: A suspected request is cleared by its success
    Given 3 shards with 2 replicas in versions 1 and 2
    And the request was in flight at the crash of endpoint s00-0
    When a query is sent
    And all other endpoints answer
    And the request was in flight at the crash of endpoint s01-0
    And a query is sent
    Then the query is not refused

  Scenario: A query that crashes every endpoint is not retried on their replicas
    Given 3 shards with 2 replicas in versions 1 and 2
    When a query is sent
    And every endpoint crashes
    Then 3 endpoints were queried
