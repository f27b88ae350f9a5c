Feature: A booking runs at most once
  A double booking sends two families to one wheel, a lost one sends a family
  out at dawn to a pitch that isn't there. The runners count runs per key.

  Scenario: A gateway is killed while its booking runs
    The runner has the booking, the gateway that would pass on the answer is
    dead, and the caller asks another gateway at once. It must hear that the
    outcome is unknown, not that nothing ran, and nothing may run again.
    Given a system of 3 gateways and 1 engines
    And bookings take 1 second
    When gateway-1 gets SIGKILL while it runs a booking
    And the caller asks gateway-2 for 3 seconds
    Then all answers said unknown
    And the booking ran 1 times

  Scenario: A gateway is frozen between its claim and the dispatch
    The store answers slowly and the gateway is stopped meanwhile. Its
    caller has long gone elsewhere by the time it thaws, so it must not run
    the booking late.
    Given a system of 3 gateways and 1 engines
    And the store takes 1 second
    When gateway-1 is frozen for 8 seconds under a claim
    And the caller asks gateway-2 until the booking is taken
    Then the booking ran 1 times
    And it ran through gateway-2

  Scenario: The store loses the reply to a claim
    The claim took effect and the gateway can't know. It must neither run
    the booking on a guess nor leave the key taken for nothing.
    Given a system of 2 gateways and 1 engines
    When the store loses 1 replies
    And the caller asks gateway-1 until the booking is taken
    Then the booking ran 1 times

  Scenario: The runner's connection is cut behind the effect
    The wheel is taken and the answer lost. Another runner stands idle.
    Given a system of 2 gateways and 1 engines
    When runners cut a booking after its effect
    And the caller asks gateway-1 once
    And the caller asks gateway-2 for 2 seconds
    Then all answers said unknown
    And the booking ran 1 times

  Scenario: All runners are busy at first
    They refuse as not run, and the next try must run, at any gateway.
    Given a system of 2 gateways and 1 engines
    When runners refuse all bookings
    And the caller asks gateway-1 once
    Then all answers said not_run
    And the booking ran 0 times
    When runners have room again
    And the caller asks gateway-2 until the booking is taken
    Then the booking ran 1 times

  Scenario: The store goes down under a booking
    The caller has its answer at once. The same key gives the same bytes at
    another gateway once the store is back.
    Given a system of 2 gateways and 1 engines
    And bookings take 1 second
    When the store is down from the run of a booking until after its answer
    And the caller asks gateway-2 until the booking is taken
    Then both answers are the same
    And the booking ran 1 times

  Scenario: A caller asks three gateways at once, again and again
    Given a system of 3 gateways and 1 engines
    When 20 bookings are each sent to all gateways at once
    Then each of them ran once

  Scenario: A booking runner has died
    Connections to it are refused, so nothing was sent, and the booking may
    go to the other runner. Families need not ask twice.
    Given a system of 2 gateways and 1 engines
    When booking-1 is dead, whom no notice announced
    Then 20 bookings are taken, each once, at the first try
