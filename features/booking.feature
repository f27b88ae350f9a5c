Feature: A booking runs at most once
  A booking that runs twice assigns one wheel to two families; a lost booking
  leaves a family without a pitch. The runners count runs per idempotency key.

  Scenario: A gateway is killed while its booking runs
    The runner has the booking, but the gateway that would forward the answer
    is dead, and the caller retries at another gateway at once. The answer must
    be that the outcome is unknown, not that nothing ran, and the booking must
    not run again.
    Given a system of 3 gateways and 1 engines
    And bookings take 1 second
    When gateway-1 gets SIGKILL while it runs a booking
    And the caller retries at gateway-2 for 3 seconds
    Then all answers report execution unknown
    And the booking ran 1 times

  Scenario: A gateway is frozen between its claim and the dispatch
    The store answers slowly and the gateway is stopped meanwhile. By the
    time it resumes, its caller has retried elsewhere, so it must not run the
    booking late.
    Given a system of 3 gateways and 1 engines
    And each store operation takes 1 second
    When gateway-1 is frozen for 8 seconds during a claim
    And the caller retries at gateway-2 until the booking succeeds
    Then the booking ran 1 times
    And it ran through gateway-2

  Scenario: The store loses the reply to a claim
    The claim is committed, but the gateway cannot know this. It must neither
    assume that it holds the claim and run the booking, nor leave the key
    claimed by a booking that never runs.
    Given a system of 2 gateways and 1 engines
    When the store loses 1 replies
    And the caller retries at gateway-1 until the booking succeeds
    Then the booking ran 1 times

  Scenario: The runner's connection closes after the booking ran
    The wheel is booked and the answer is lost. Another runner is idle and
    must not run the booking again.
    Given a system of 2 gateways and 1 engines
    When runners close the connection after running a booking
    And the caller sends the booking to gateway-1 once
    And the caller retries at gateway-2 for 2 seconds
    Then all answers report execution unknown
    And the booking ran 1 times

  Scenario: All runners are busy at first
    They refuse the booking as not run. The next attempt must run, at any
    gateway.
    Given a system of 2 gateways and 1 engines
    When runners refuse all bookings
    And the caller sends the booking to gateway-1 once
    Then all answers report execution not_run
    And the booking ran 0 times
    When runners have capacity again
    And the caller retries at gateway-2 until the booking succeeds
    Then the booking ran 1 times

  Scenario: The store goes down during a booking
    The caller gets its answer without waiting for the store. Once the store
    is back, another gateway returns the same bytes for the same key.
    Given a system of 2 gateways and 1 engines
    And bookings take 1 second
    When the store is down from the start of a booking until it is answered
    And the caller retries at gateway-2 until the booking succeeds
    Then both answers are the same
    And the booking ran 1 times

  Scenario: A caller sends each booking to three gateways at once
    Given a system of 3 gateways and 1 engines
    When 20 bookings are each sent to all gateways at once
    Then each booking ran once

  Scenario: A booking runner has died
    Connections to it are refused, so no request was sent and the booking may
    go to the other runner. Callers need not retry.
    Given a system of 2 gateways and 1 engines
    When booking-1 dies without notice
    Then 20 bookings succeed on the first attempt and run once each
