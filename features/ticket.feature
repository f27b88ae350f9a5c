Feature: Each change ticket has one outcome
  Several operators submit tickets concurrently, each to any gateway.

  Scenario: Two operators use one number for different changes
    Both find number 2 free and submit their tickets at once, to different
    gateways. Neither change may silently overwrite the other.
    Given a system of 3 gateways and 2 engines
    When two operators submit different tickets 2 to two gateways at once
    Then one is accepted and the other is refused as number_taken
    And the accepted ticket is in force at every gateway

  Scenario: An operator retries at another gateway after a store outage
    The store goes down before the ticket is written. The ticket is reported
    as not accepted, and the operator submits it to another gateway later.
    Given a system of 3 gateways and 2 engines
    When the store goes down
    Then a ticket is not accepted at gateway-1
    When the store is back
    Then the same ticket is accepted at gateway-2
