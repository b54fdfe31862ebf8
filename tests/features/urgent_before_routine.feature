Feature: Urgent queries go first and routine queries are not starved

  Scenario: An urgent query overtakes routine queries that wait
    Given an instance at its limit with 5 routine queries that wait
    When an urgent query arrives
    And a query finishes
    Then the urgent query is in flight

  Scenario: Routine queries get one place in ten
    Given an instance at its limit with 5 routine queries that wait
    When 40 urgent queries arrive
    And 20 queries finish
    Then 2 of the routine queries are in flight
