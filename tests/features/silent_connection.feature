Feature: A silent connection is replaced
  An open connection no longer carries data, while new connections work. The
  connection is replaced and the endpoint is still used.

  Scenario: Another connection answers
    Given an endpoint that has answered 20 queries in 5 ms each
    And the connection of the query "lost" has gone silent
    When other queries are answered for 200 ms
    Then "lost" is answered as "unknown" within 200 ms
    And the silent connection is replaced
    And the endpoint still answers queries

  Scenario: All slots are held by silent connections
    Given an endpoint that has answered 20 queries in 5 ms each
    And the connection of the query "lost" has gone silent
    And the connection of the query "lost too" has gone silent
    When a new connection answers a probe
    Then "lost" is answered as "unknown" within 200 ms
    And "lost too" is answered as "unknown" within 200 ms
    And the endpoint still answers queries

  Scenario: The whole endpoint is slow
    Given an endpoint that has answered 20 queries in 5 ms each
    And the connection of the query "slow" has gone silent
    When 300 ms pass without any answer
    Then the connection of "slow" is still used
