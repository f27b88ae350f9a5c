Feature: Each change ticket has one outcome
  Operators work from several desks, at any gateway, and tickets race.

  Scenario: Two operators take one number for different changes
    Both find number 2 free and hand their ticket in at once, at different
    gateways. One change must not vanish under the other.
    Given a system of 3 gateways and 2 engines
    When two operators hand in other tickets 2 at two gateways at once
    Then one is accepted and the other one's number is taken
    And the accepted one is in force at every gateway

  Scenario: An operator tries again at another gateway without the store
    The store goes down before the ticket is written. The operator hears
    that it is not accepted, and hands it in elsewhere later.
    Given a system of 3 gateways and 2 engines
    When the store goes down
    Then a ticket is not accepted at gateway-1
    When the store is back
    Then the same ticket is accepted at gateway-2
